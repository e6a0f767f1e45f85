package org.almondslip.execution;

/**
 * How many requests to grant ahead of free slots, so that a slot never waits for a grant's round
 * trip or for the claim of an idempotency key.
 *
 * <p>By Little's law, {@code slots * refill / slot time} requests are on their way while a slot is
 * refilled. Both times are exponentially weighted moving averages. The window never exceeds the
 * number of slots, which bounds what one agent holds beside the fair order.
 */
final class PrefetchWindow {

  /** Weight of a new value in the averages. */
  private static final double WEIGHT = 0.1;

  /** Part of a request that is too small to be worth granting ahead. */
  private static final double NEGLIGIBLE = 0.1;

  /** Mean time from a grant to its request, in milliseconds. */
  private double grantMillis;

  /** Mean time of a claim, in milliseconds; 0 for a request without idempotency key. */
  private double claimMillis;

  /** Mean slot time of a request, in milliseconds; 0 before the first has ended. */
  private double slotMillis;

  /**
   * Notes that a grant was answered with a request.
   *
   * @param millis the time from the grant to the request, in milliseconds
   */
  void onDispatch(long millis) {
    grantMillis += WEIGHT * (millis - grantMillis);
  }

  /**
   * Notes that a request may be sent to the target.
   *
   * @param millis the time that its claim took, in milliseconds
   */
  void onClaimed(long millis) {
    claimMillis += WEIGHT * (millis - claimMillis);
  }

  /**
   * Notes that a request has ended.
   *
   * @param millis its slot time, in milliseconds
   */
  void onEnded(long millis) {
    slotMillis += (slotMillis == 0 ? 1 : WEIGHT) * (millis - slotMillis);
  }

  /**
   * Returns the requests to grant ahead.
   *
   * @param slots the slots of the target
   * @param minimum the requests to grant ahead at least
   * @return the number
   */
  int size(int slots, int minimum) {
    double onTheWay = slots * (grantMillis + claimMillis) / Math.max(1, slotMillis);
    int ahead = slotMillis == 0 ? 0 : (int) Math.ceil(onTheWay - NEGLIGIBLE);
    return Math.max(minimum, Math.min(slots, ahead));
  }
}
