package org.almondslip.control;

/**
 * Durations of a control lease.
 *
 * @param durationMillis the lease duration after each write of the row, in milliseconds
 * @param renewMillis the interval between renewals, in milliseconds
 * @param retryMillis the interval between attempts while the store fails or another agent holds the
 *     lease, in milliseconds
 * @param commandMillis the maximum duration of a control command, in milliseconds
 */
public record LeaseLimits(
    long durationMillis, long renewMillis, long retryMillis, long commandMillis) {

  /**
   * Default durations. A command may take 10 s, which leaves 20 s of the lease in which it can be
   * sent and allows for several lost renewals.
   */
  public static final LeaseLimits DEFAULT = new LeaseLimits(30_000, 5_000, 1_000, 10_000);
}
