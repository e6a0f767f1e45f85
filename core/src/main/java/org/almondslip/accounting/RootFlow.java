package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;

/** Counters of one flow at the root of a data centre. */
final class RootFlow {

  /** Wave number that precedes all activity. */
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
   * @return the cumulative charge, in microseconds divided by share; 0 when it is unknown
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
   * @param micros the charge, in microseconds divided by share; negative to subtract one
   * @param wave the current wave
   */
  void add(String dataCentre, long micros, long wave) {
    counters.merge(dataCentre, micros, Long::sum);
    activeWave = Math.max(activeWave, wave);
  }

  /**
   * Raises the counter of a data centre. A smaller value has no effect.
   *
   * @param dataCentre the data centre
   * @param value the counter, in microseconds divided by share
   * @param wave the current wave
   */
  void raise(String dataCentre, long value, long wave) {
    if (value > counter(dataCentre)) {
      counters.put(dataCentre, value);
      activeWave = Math.max(activeWave, wave);
    }
  }

  /**
   * Raises the sum of all lifts. A smaller value has no effect.
   *
   * @param value the sum of all lifts, in microseconds
   */
  void raiseLift(long value) {
    lift = Math.max(lift, value);
  }

  /**
   * Adds a lift so that the account is at least the given value.
   *
   * @param account the smallest account, in microseconds
   * @return true when a lift was added
   */
  boolean liftTo(long account) {
    long missing = Math.max(0, account - account());
    lift += missing;
    return missing > 0;
  }

  /**
   * Marks the flow as active and backlogged.
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
