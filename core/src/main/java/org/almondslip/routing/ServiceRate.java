package org.almondslip.routing;

/** Moving average of the dispatch rate of a queue, measured only while requests wait. */
final class ServiceRate {

  /** Weight of a new interval in the smoothed interval. */
  private static final double SMOOTHING_FACTOR = 0.2;

  /** Smoothed interval between two dispatches, in milliseconds; 0 before the first one. */
  private double intervalMillis;

  /** Number of intervals measured. */
  private long samples;

  /** Start of the interval that is being measured, in milliseconds. */
  private long intervalStart;

  /**
   * Starts an interval when the queue stops being empty.
   *
   * @param now the current time, in milliseconds
   */
  void onBacklog(long now) {
    intervalStart = now;
  }

  /**
   * Ends an interval with a dispatch.
   *
   * @param now the current time, in milliseconds
   */
  void onDispatch(long now) {
    double interval = Math.max(0, now - intervalStart);
    intervalMillis =
        samples == 0
            ? interval
            : (1 - SMOOTHING_FACTOR) * intervalMillis + SMOOTHING_FACTOR * interval;
    samples++;
    intervalStart = now;
  }

  /**
   * Estimates how long a number of waiting requests take to be dispatched.
   *
   * @param waiting the number of requests
   * @return the time, in milliseconds, 0 while no rate is known
   */
  long waitMillis(int waiting) {
    return Math.round(waiting * intervalMillis);
  }
}
