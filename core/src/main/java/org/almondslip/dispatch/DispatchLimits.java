package org.almondslip.dispatch;

/**
 * Limits of the queues.
 *
 * @param unreadMillis the unread work of a target, in milliseconds of reading, above which it takes
 *     no further job
 * @param slotFactor the jobs at a target above which it takes no further one, as a multiple of its
 *     slots
 * @param maxWaiting the jobs that may wait for one service
 * @param retryAfterMillis the shortest time after which a refused caller may come back
 */
public record DispatchLimits(
    double unreadMillis, double slotFactor, int maxWaiting, long retryAfterMillis) {

  /**
   * Standard limits. Unread work of 400 ms keeps an engine busy over a round trip between regions
   * and the reports of other routers, and leaves two thirds of an objective of 1.2 s for the queue.
   */
  public static final DispatchLimits DEFAULT = new DispatchLimits(400, 1.25, 2_000, 500);
}
