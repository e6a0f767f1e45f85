package org.almondslip.routing;

import java.util.HashMap;
import java.util.Map;

/** Corrects the rough hints of slot time by what the requests of the same flow have cost. */
final class CostEstimator {

  /** Weight of a new observation. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Largest factor by which a hint is raised or lowered. */
  private static final double MAX_FACTOR = 16;

  /** Smallest estimate, in milliseconds. */
  private static final long MIN_MILLIS = 1;

  /** Smoothed ratio of cost to hint, by flow identity. */
  private final Map<Integer, Double> factors = new HashMap<>();

  /**
   * Learns from a request that has ended.
   *
   * @param flowId the identity of the flow
   * @param hintMillis the hint, in milliseconds
   * @param costMillis the cost, in milliseconds
   */
  void onCost(int flowId, long hintMillis, long costMillis) {
    double ratio = (double) costMillis / Math.max(MIN_MILLIS, hintMillis);
    double bounded = Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, ratio));
    factors.merge(
        flowId, bounded, (old, fresh) -> (1 - SMOOTHING_FACTOR) * old + SMOOTHING_FACTOR * fresh);
  }

  /**
   * Estimates the slot time of a request.
   *
   * @param flowId the identity of the flow
   * @param hintMillis the hint, in milliseconds
   * @return the estimate, at least 1 ms
   */
  long estimateMillis(int flowId, long hintMillis) {
    double factor = factors.getOrDefault(flowId, 1.0);
    return Math.max(MIN_MILLIS, Math.round(hintMillis * factor));
  }
}
