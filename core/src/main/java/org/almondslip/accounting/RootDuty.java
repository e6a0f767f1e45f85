package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.protocol.wire.Frame;

/** What an agent keeps for the time when it acts as the root of its data centre. */
final class RootDuty {

  /** Waves that a root without counters waits for others to send them. */
  private static final long RECOVERY_WAVES = 2;

  /** Counters of all data centres. */
  private final RootCounters counters;

  /** Charges counted here since this agent acts as root. */
  private final Map<Integer, Long> counted = new HashMap<>();

  /** Wave in which this agent began to act as root. */
  private Optional<Long> since = Optional.empty();

  /**
   * Creates the duty of an agent that does not act as root.
   *
   * @param counters the counters of all data centres
   */
  RootDuty(RootCounters counters) {
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
    if (since.isEmpty()) {
      since = Optional.of(wave);
    }
  }

  /**
   * Returns whether the agent acts as root.
   *
   * @return true when it has begun and not ended
   */
  boolean isActing() {
    return since.isPresent();
  }

  /**
   * Returns whether the agent still waits for the counters of its data centre. It counts nothing
   * meanwhile, because merging by maximum would drop what was counted from zero.
   *
   * @param wave the current wave
   * @return true when it does not count charges yet
   */
  boolean isRecovering(long wave) {
    return !counters.isInformed() && wave - since.orElse(wave) < RECOVERY_WAVES;
  }

  /**
   * Adds charges to the counters.
   *
   * @param charges the charges by flow identity
   * @param wave the current wave
   */
  void count(Map<Integer, Long> charges, long wave) {
    counters.add(charges, wave);
    charges.forEach((id, micros) -> counted.merge(id, micros, Long::sum));
  }

  /** Ends the time as root; the new root gets the counters in a snapshot. */
  void end() {
    since = Optional.empty();
    counted.clear();
  }

  /**
   * Ends the time as root in favour of one that has kept its counters and lacks only what was
   * counted here meanwhile.
   *
   * @param wave the current wave
   * @return the charges to report to it, by flow identity
   */
  Map<Integer, Long> endInFavour(long wave) {
    Map<Integer, Long> charges = Map.copyOf(counted);
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
