package org.almondslip.placement;

/**
 * Ratio between measured and expected times to the first event at one engine, in which older
 * responses weigh less.
 */
final class PrefillSamples implements SpeedSamples {

  /** Number of responses after which the weight of a response has decreased to 1/e. */
  private static final double WINDOW_SAMPLES = 200;

  /**
   * Time after which the measurements are discarded, in milliseconds. A target that gets no
   * requests is then tried again.
   */
  private static final long EXPIRY_MILLIS = 60_000;

  /**
   * Time for the decoding steps before the first event, in milliseconds: eight steps of 4 ms. They
   * take longer on a slow target, as does prefill; the rest of the constant part does not.
   */
  private static final double STEPS_MILLIS = 32;

  private double count;

  private double measuredMillis;

  private double expectedMillis;

  private long latestAt;

  /**
   * Adds a response.
   *
   * @param prefillMillis the prefill time of the request and of those before it at mean speed
   * @param millis the measured time in milliseconds
   * @param constantMillis the part of measured times that is no prefill
   * @param now the current time in milliseconds
   */
  void add(double prefillMillis, double millis, double constantMillis, long now) {
    double kept = 1 - 1 / WINDOW_SAMPLES;
    double expected = STEPS_MILLIS + prefillMillis;
    double measured = millis - Math.max(0, constantMillis - STEPS_MILLIS);
    double ratio = SpeedEstimate.bound(measured / expected);
    count = count * kept + 1;
    measuredMillis = measuredMillis * kept + ratio * expected;
    expectedMillis = expectedMillis * kept + expected;
    latestAt = now;
  }

  @Override
  public void expire(long now) {
    if (now - latestAt >= EXPIRY_MILLIS) {
      count = 0;
      measuredMillis = 0;
      expectedMillis = 0;
    }
  }

  @Override
  public double count() {
    return count;
  }

  @Override
  public double duration() {
    return count > 0 ? measuredMillis / expectedMillis : 1;
  }
}
