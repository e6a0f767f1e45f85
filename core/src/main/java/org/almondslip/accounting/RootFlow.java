package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;

/** Counters of one flow at the root of a data centre. */
final class RootFlow {

  /** Wave of a flow that has never been seen. */
  private static final long NEVER = -1_000_000L;

  /** Cumulative charge by data centre, in microseconds divided by share. */
  private final Map<String, Long> counters = new HashMap<>();

  /** Sum of all lifts, in microseconds. */
  private long lift;

  /** Last wave with service or backlog. */
  private long activeWave = NEVER;

  /** Last wave with backlog. */
  private long backloggedWave = NEVER;

  /**
   * Returns the counter of a data centre.
   *
   * @param dataCentre the data centre
   * @return the counter
   */
  long counter(String dataCentre) {
    return counters.getOrDefault(dataCentre, 0L);
  }

  /**
   * Returns the sum of all lifts.
   *
   * @return the sum, in microseconds
   */
  long lift() {
    return lift;
  }

  /**
   * Returns the number of waves since the last service or backlog.
   *
   * @param wave the current wave
   * @return the number
   */
  long wavesSinceActivity(long wave) {
    return wave - activeWave;
  }

  /**
   * Returns the number of waves since the last backlog.
   *
   * @param wave the current wave
   * @return the number
   */
  long wavesSinceBacklog(long wave) {
    return wave - backloggedWave;
  }

  /**
   * Adds a charge.
   *
   * @param dataCentre the data centre
   * @param micros the charge; negative to take one back
   * @param wave the current wave
   */
  void add(String dataCentre, long micros, long wave) {
    counters.merge(dataCentre, micros, Long::sum);
    activeWave = Math.max(activeWave, wave);
  }

  /**
   * Raises the counter of a data centre; a smaller value changes nothing.
   *
   * @param dataCentre the data centre
   * @param value the value
   * @param wave the current wave
   */
  void raise(String dataCentre, long value, long wave) {
    if (value > counter(dataCentre)) {
      counters.put(dataCentre, value);
      activeWave = Math.max(activeWave, wave);
    }
  }

  /**
   * Raises the lifts; a smaller value changes nothing.
   *
   * @param value the sum of all lifts, in microseconds
   */
  void raiseLift(long value) {
    lift = Math.max(lift, value);
  }

  /**
   * Raises the lifts so that the account reaches a value.
   *
   * @param account the value, in microseconds
   * @return true when the lifts changed
   */
  boolean liftTo(long account) {
    long missing = Math.max(0, account - account());
    lift += missing;
    return missing > 0;
  }

  /**
   * Marks the flow as backlogged.
   *
   * @param wave the current wave
   */
  void markBacklogged(long wave) {
    activeWave = wave;
    backloggedWave = wave;
  }

  /**
   * Returns the account.
   *
   * @return slot time divided by share plus lifts, in microseconds
   */
  long account() {
    return lift + counters.values().stream().mapToLong(Long::longValue).sum();
  }
}
