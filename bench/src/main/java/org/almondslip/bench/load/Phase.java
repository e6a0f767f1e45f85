package org.almondslip.bench.load;

import java.util.Optional;

/**
 * A part of a load.
 *
 * @param millis how long it lasts
 * @param load requests offered, as a part of the capacity of the pool
 * @param byShare whether organisations send in proportion to their shares instead of their demand
 * @param flood an organisation that sends several times as much
 * @param burstMillis work that all organisations send at the start at once, as time at full
 *     capacity
 */
public record Phase(
    long millis, double load, boolean byShare, Optional<String> flood, long burstMillis) {

  /** How many times its own rate a flooding organisation sends. */
  static final int FLOOD_FACTOR = 5;

  /**
   * Returns a phase in which organisations send according to their demand.
   *
   * @param millis how long it lasts
   * @param load requests offered, as a part of the capacity
   * @return the phase
   */
  public static Phase steady(long millis, double load) {
    return new Phase(millis, load, false, Optional.empty(), 0);
  }

  /**
   * Returns a phase in which every organisation sends more than its share of the capacity: all send
   * a burst at the start and one floods.
   *
   * @param millis how long it lasts
   * @param load requests offered, as a part of the capacity
   * @param flood the organisation that floods
   * @param burstMillis work in the burst, as time at full capacity
   * @return the phase
   */
  public static Phase contention(long millis, double load, String flood, long burstMillis) {
    return new Phase(millis, load, true, Optional.of(flood), burstMillis);
  }
}
