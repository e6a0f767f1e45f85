package org.almondslip.placement;

/**
 * Mean duration of the requests at one target of a service without prompts, in which older requests
 * weigh less.
 */
final class RequestSamples implements SpeedSamples {

  /** Number of requests after which the weight of a request has decreased to 1/e. */
  private static final double WINDOW_SAMPLES = 200;

  /**
   * Time after which the measurements are discarded, in milliseconds. A target that gets no
   * requests is then tried again.
   */
  private static final long EXPIRY_MILLIS = 60_000;

  /** Factor by which a duration may differ from the mean; a larger one counts as this. */
  private static final double MAX_DEVIATION = 4;

  private double count;

  private double meanMillis;

  private long latestAt;

  /**
   * Adds a request.
   *
   * @param millis the duration in milliseconds
   * @param now the current time in milliseconds
   */
  void add(double millis, long now) {
    double bounded =
        count == 0
            ? millis
            : Math.max(meanMillis / MAX_DEVIATION, Math.min(meanMillis * MAX_DEVIATION, millis));
    count = count * (1 - 1 / WINDOW_SAMPLES) + 1;
    meanMillis += (bounded - meanMillis) / count;
    latestAt = now;
  }

  @Override
  public void expire(long now) {
    if (now - latestAt >= EXPIRY_MILLIS) {
      count = 0;
    }
  }

  @Override
  public double count() {
    return count;
  }

  @Override
  public double duration() {
    return meanMillis;
  }
}
