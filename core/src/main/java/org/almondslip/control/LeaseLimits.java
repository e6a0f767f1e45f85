package org.almondslip.control;

/**
 * Times of a control lease.
 *
 * @param durationMillis the time for which one write of the row holds the lease
 * @param renewMillis the interval between renewals
 * @param retryMillis the interval between tries while the store fails or another agent holds it
 * @param commandMillis the longest duration of a control command
 */
public record LeaseLimits(
    long durationMillis, long renewMillis, long retryMillis, long commandMillis) {

  /**
   * Default times. A command may take 10 s, so the lease leaves 20 s in which one can be sent and
   * survives several lost renewals.
   */
  public static final LeaseLimits DEFAULT = new LeaseLimits(30_000, 5_000, 1_000, 10_000);
}
