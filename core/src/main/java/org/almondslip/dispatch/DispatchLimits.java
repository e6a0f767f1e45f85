package org.almondslip.dispatch;

/**
 * Limits of the queues.
 *
 * @param unreadMillis the unread work of an engine, in milliseconds of reading, above which it
 *     takes no further job
 * @param engineSlotPart the jobs at an engine above which it takes no further one, as a part of its
 *     slots; each running job slows the tokens of all others
 * @param againTokens the shared tokens that a patient job may have read again
 * @param maxWaiting the jobs that may wait for one service
 * @param retryAfterMillis the shortest time after which a refused caller may come back
 */
public record DispatchLimits(
    double unreadMillis,
    double engineSlotPart,
    int againTokens,
    int maxWaiting,
    long retryAfterMillis) {

  /**
   * Standard limits. Unread work of 150 ms keeps an engine busy over a round trip between regions
   * and the reports of other routers, and leaves most of an objective of 500 ms. An engine reads
   * prompts between the steps of its running jobs, so more of them would only end later.
   */
  public static final DispatchLimits DEFAULT = new DispatchLimits(150, 0.35, 512, 2_000, 500);
}
