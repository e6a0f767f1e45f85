package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.protocol.wire.Frame;

/** State of an agent that may act as the root of its data centre. */
final class RootRole {

  /** Waves that a root without counters waits to receive them from other agents. */
  private static final long RECOVERY_WAVES = 2;

  /** Counters of all data centres. */
  private final RootCounters counters;

  /** Charges counted since this agent began to act as root, by flow identity. */
  private final Map<Integer, Long> countedAsRoot = new HashMap<>();

  /** Wave in which this agent began to act as root; empty while it does not. */
  private Optional<Long> firstWave = Optional.empty();

  /**
   * Creates the state of an agent that does not act as root.
   *
   * @param counters the counters of all data centres
   */
  RootRole(RootCounters counters) {
    this.counters = counters;
  }

  /**
   * Returns the counters of all data centres.
   *
   * @return the counters
   */
  RootCounters counters() {
    return counters;
  }

  /**
   * Starts the root role unless it is active.
   *
   * @param wave the current wave
   */
  void begin(long wave) {
    if (firstWave.isEmpty()) {
      firstWave = Optional.of(wave);
    }
  }

  /**
   * Returns whether the agent acts as root.
   *
   * @return true when the root role is active
   */
  boolean isActing() {
    return firstWave.isPresent();
  }

  /**
   * Returns whether the agent still waits for the counters of its data centre. No charges may be
   * counted until then, because merging by maximum would discard charges counted from zero.
   *
   * @param wave the current wave
   * @return true when charges must not be counted yet
   */
  boolean isRecovering(long wave) {
    return !counters.hasOwnCounters() && wave - firstWave.orElse(wave) < RECOVERY_WAVES;
  }

  /**
   * Adds charges of this data centre to the counters.
   *
   * @param charges the charges by flow identity
   * @param wave the current wave
   */
  void count(Map<Integer, Long> charges, long wave) {
    counters.add(charges, wave);
    charges.forEach((id, micros) -> countedAsRoot.merge(id, micros, Long::sum));
  }

  /** Ends the root role. The caller sends the counters to the new root in a snapshot. */
  void end() {
    firstWave = Optional.empty();
    countedAsRoot.clear();
  }

  /**
   * Ends the root role and subtracts the charges counted in it. Used when the new root still has
   * its counters and lacks only these charges.
   *
   * @param wave the current wave
   * @return the charges to report to the new root, by flow identity
   */
  Map<Integer, Long> endAndRetract(long wave) {
    Map<Integer, Long> charges = Map.copyOf(countedAsRoot);
    counters.retract(charges, wave);
    end();
    return charges;
  }

  /**
   * Builds the message to the successor or the new root.
   *
   * @param epoch the number of the digest
   * @param wave the current wave
   * @param all whether inactive flows are included
   * @return the frame
   */
  Frame snapshot(long epoch, long wave, boolean all) {
    return Frame.newBuilder().setRootSnapshot(counters.snapshot(epoch, wave, all)).build();
  }
}
