package org.almondslip.routing;

import java.util.HashMap;
import java.util.Map;

/** Corrects slot time hints by the measured cost of earlier requests of the same flow. */
final class CostEstimator {

  /** Weight of a new observation in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Largest factor by which a hint is raised or lowered. */
  private static final double MAX_FACTOR = 16;

  /** Smallest estimate, in milliseconds. */
  private static final long MIN_MILLIS = 1;

  /** Moving average of the ratio of cost to hint, by flow identity. */
  private final Map<Integer, Double> factors = new HashMap<>();

  /**
   * Updates the ratio of a flow with the cost of a completed request.
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
   * @return the estimate in milliseconds, at least 1
   */
  long estimateMillis(int flowId, long hintMillis) {
    double factor = factors.getOrDefault(flowId, 1.0);
    return Math.max(MIN_MILLIS, Math.round(hintMillis * factor));
  }
}
