package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.protocol.wire.Frame;

/** What an agent keeps for the time when it acts as the root of its data centre. */
final class RootRole {

  /** Waves that a root without counters waits for others to send them. */
  private static final long RECOVERY_WAVES = 2;

  /** Counters of all data centres. */
  private final RootCounters counters;

  /** Charges counted since this agent began to act as root, by flow identity. */
  private final Map<Integer, Long> countedAsRoot = new HashMap<>();

  /** Wave in which this agent began to act as root. */
  private Optional<Long> firstWave = Optional.empty();

  /**
   * Creates the duty of an agent that does not act as root.
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
   * Notes that the agent acts as root.
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
   * @return true when it has begun and not ended
   */
  boolean isActing() {
    return firstWave.isPresent();
  }

  /**
   * Returns whether the agent still waits for the counters of its data centre. It counts nothing
   * meanwhile, because merging by maximum would drop what was counted from zero.
   *
   * @param wave the current wave
   * @return true when it does not count charges yet
   */
  boolean isRecovering(long wave) {
    return !counters.hasOwnCounters() && wave - firstWave.orElse(wave) < RECOVERY_WAVES;
  }

  /**
   * Adds charges to the counters.
   *
   * @param charges the charges by flow identity
   * @param wave the current wave
   */
  void count(Map<Integer, Long> charges, long wave) {
    counters.add(charges, wave);
    charges.forEach((id, micros) -> countedAsRoot.merge(id, micros, Long::sum));
  }

  /** Ends the time as root; the new root gets the counters in a snapshot. */
  void end() {
    firstWave = Optional.empty();
    countedAsRoot.clear();
  }

  /**
   * Ends the time as root in favour of one that has kept its counters and lacks only what was
   * counted here meanwhile.
   *
   * @param wave the current wave
   * @return the charges to report to it, by flow identity
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
   * @param epoch the number of the wave
   * @param wave the current wave
   * @param all whether flows that are not active are included
   * @return the frame
   */
  Frame snapshot(long epoch, long wave, boolean all) {
    return Frame.newBuilder().setRootSnapshot(counters.snapshot(epoch, wave, all)).build();
  }
}
