package org.almondslip.execution;

/**
 * Adaptive number of requests to grant ahead of free slots, so that slots do not idle during a
 * grant's round trip or the claim of an idempotency key.
 *
 * <p>By Little's law, {@code slots * refill / slot time} requests are in transit while a slot is
 * refilled. Both times are exponentially weighted moving averages. The window never exceeds the
 * number of slots, which bounds the number of requests that one agent holds outside the fair order.
 */
final class PrefetchWindow {

  /** Weight of a new sample in the moving averages. */
  private static final double WEIGHT = 0.1;

  /** Fraction of a request below which no further request is granted ahead. */
  private static final double NEGLIGIBLE = 0.1;

  /** Mean time from a grant to its request, in milliseconds. */
  private double grantMillis;

  /** Mean time of a claim, in milliseconds; 0 for a request without idempotency key. */
  private double claimMillis;

  /** Mean slot time of a request, in milliseconds; 0 before the first has ended. */
  private double slotMillis;

  /**
   * Records that a grant was answered with a request.
   *
   * @param millis the time from the grant to the request, in milliseconds
   */
  void onDispatch(long millis) {
    grantMillis += WEIGHT * (millis - grantMillis);
  }

  /**
   * Records the claim time of a request that may be sent to the target.
   *
   * @param millis the time that its claim took, in milliseconds
   */
  void onClaimed(long millis) {
    claimMillis += WEIGHT * (millis - claimMillis);
  }

  /**
   * Records the slot time of an ended request.
   *
   * @param millis its slot time, in milliseconds
   */
  void onEnded(long millis) {
    slotMillis += (slotMillis == 0 ? 1 : WEIGHT) * (millis - slotMillis);
  }

  /**
   * Returns the number of requests to grant ahead.
   *
   * @param slots the slots of the target
   * @param minimum the minimum number of requests to grant ahead
   * @return the number
   */
  int size(int slots, int minimum) {
    double inTransit = slots * (grantMillis + claimMillis) / Math.max(1, slotMillis);
    int ahead = slotMillis == 0 ? 0 : (int) Math.ceil(inTransit - NEGLIGIBLE);
    return Math.max(minimum, Math.min(slots, ahead));
  }
}
