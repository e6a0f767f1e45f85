package org.almondslip.placement;

/**
 * Duration of prefill at a target of mean speed, and the time that is no prefill.
 *
 * <p>Compares requests with little prefill of their own with those with much. The constant part
 * (network, decoding steps, delays of this router) cancels out, so it does not make all targets
 * look slow. The groups are formed by the prefill of the requests themselves, since errors in the
 * known pending prefill would make the increase look too small otherwise (method of instrumental
 * variables).
 */
final class PrefillModel {

  /** Own prefill below which a request counts as small, in milliseconds. */
  private static final double SMALL_MILLIS = 25;

  /** Own prefill above which a request counts as large, in milliseconds. */
  private static final double LARGE_MILLIS = 45;

  /** Number of samples of each size from which on the duration is estimated. */
  private static final double MIN_SAMPLES = 20;

  /** Weight of a new estimate, so that the duration follows the service within 200 responses. */
  private static final double WEIGHT = 0.005;

  private final Group small = new Group();

  private final Group large = new Group();

  private double duration = 1;

  /** Means of a group of samples in which older samples weigh less. */
  private static final class Group {

    /** Number of samples after which the weight of a sample has decreased to 1/e. */
    private static final double WINDOW_SAMPLES = 300;

    private double weight;

    private double expectedMillis;

    private double measuredMillis;

    private void add(double expected, double measured) {
      weight = weight * (1 - 1 / WINDOW_SAMPLES) + 1;
      expectedMillis += (expected - expectedMillis) / weight;
      measuredMillis += (measured - measuredMillis) / weight;
    }
  }

  /**
   * Adds a response.
   *
   * @param ownMillis the prefill time that {@link EngineModel} expects of the request itself
   * @param expectedMillis the same including the requests before it
   * @param measuredMillis the measured time, converted to a target of mean speed
   */
  void add(double ownMillis, double expectedMillis, double measuredMillis) {
    if (ownMillis >= SMALL_MILLIS && ownMillis <= LARGE_MILLIS) {
      return;
    }
    (ownMillis < SMALL_MILLIS ? small : large).add(expectedMillis, measuredMillis);
    double increase = large.expectedMillis - small.expectedMillis;
    if (isKnown() && increase > 0) {
      double estimate = (large.measuredMillis - small.measuredMillis) / increase;
      duration += WEIGHT * (SpeedEstimate.bound(estimate) - duration);
    }
  }

  private boolean isKnown() {
    return small.weight >= MIN_SAMPLES && large.weight >= MIN_SAMPLES;
  }

  /** Returns the duration of prefill relative to {@link EngineModel}. */
  double duration() {
    return duration;
  }

  /** Returns the part of a measured time that is no prefill, in milliseconds; 0 if unknown. */
  double constantMillis() {
    return isKnown() ? Math.max(0, small.measuredMillis - duration * small.expectedMillis) : 0;
  }
}
