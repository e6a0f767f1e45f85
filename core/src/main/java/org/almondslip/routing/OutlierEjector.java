package org.almondslip.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Ejects targets that fail repeatedly, with slow start after each ejection.
 *
 * <p>A target is ejected after {@link #FAILURE_THRESHOLD} consecutive failures; a repeated failure
 * of the same request is not counted, so that one request that always fails cannot eject shared
 * targets. The duration doubles with each ejection, up to the maximum. After an ejection the target
 * is limited to one request in flight, and the limit doubles with each success.
 */
final class OutlierEjector {

  /** Consecutive failures that eject a target. */
  static final int FAILURE_THRESHOLD = 5;

  /** Duration of the first ejection, in milliseconds. */
  static final long FIRST_EJECTION_MILLIS = 2_000;

  /** Maximum duration of an ejection, in milliseconds. */
  static final long MAX_EJECTION_MILLIS = 120_000;

  /** Limit of requests in flight at which slow start ends. */
  static final int SLOW_START_LIMIT = 32;

  /** State of the targets that failed recently. */
  private final Map<String, TargetState> states = new HashMap<>();

  /** State of one target. */
  private static final class TargetState {
    /** Failures since the last success. */
    private int failures;

    /** Fingerprint of the last request that failed. */
    private long lastFingerprint;

    /** Duration of the last ejection, in milliseconds; 0 before the first one. */
    private long ejectionMillis;

    /** End of the ejection, in milliseconds. */
    private long ejectedUntil;

    /** Limit of requests in flight during slow start. */
    private int allowance = SLOW_START_LIMIT;
  }

  /**
   * Records a failure.
   *
   * @param target the target
   * @param fingerprint the fingerprint of the request that failed
   * @param now the current time, in milliseconds
   * @return true when the failure ejects the target
   */
  boolean onFailure(String target, long fingerprint, long now) {
    TargetState state = states.computeIfAbsent(target, name -> new TargetState());
    if (now < state.ejectedUntil || state.failures > 0 && state.lastFingerprint == fingerprint) {
      return false;
    }
    state.failures++;
    state.lastFingerprint = fingerprint;
    boolean inSlowStart = state.allowance < SLOW_START_LIMIT;
    if (state.failures < FAILURE_THRESHOLD && !inSlowStart) {
      return false;
    }
    state.failures = 0;
    state.ejectionMillis =
        Math.min(MAX_EJECTION_MILLIS, Math.max(FIRST_EJECTION_MILLIS, 2 * state.ejectionMillis));
    state.ejectedUntil = now + state.ejectionMillis;
    state.allowance = 1;
    return true;
  }

  /**
   * Records a success.
   *
   * @param target the target
   */
  void onSuccess(String target) {
    TargetState state = states.get(target);
    if (state == null) {
      return;
    }
    state.failures = 0;
    state.allowance = Math.min(SLOW_START_LIMIT, 2 * state.allowance);
    if (state.allowance == SLOW_START_LIMIT) {
      states.remove(target);
    }
  }

  /**
   * Returns the limit of requests in flight at a target.
   *
   * @param target the target
   * @param now the current time, in milliseconds
   * @return 0 while it is ejected, the slow start limit after that, otherwise {@link
   *     Integer#MAX_VALUE}
   */
  int allowance(String target, long now) {
    TargetState state = states.get(target);
    if (state == null || state.allowance == SLOW_START_LIMIT) {
      return Integer.MAX_VALUE;
    }
    return now < state.ejectedUntil ? 0 : state.allowance;
  }
}
