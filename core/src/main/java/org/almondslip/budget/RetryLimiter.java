package org.almondslip.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the repeated sends of one router to a share of its requests in a sliding window.
 *
 * <p>Each router keeps its own account of its own requests, so the sum over the fleet stays within
 * the budget of the fleet without messages. A router that has restarted starts with an empty
 * account and can repeat only as much as its new requests allow, plus its part of the allowance.
 */
public final class RetryLimiter {

  /**
   * Part of the ratio that is used; the rest covers requests that leave the window of the budget
   * before their repeats do.
   */
  private static final double SAFETY = 0.7;

  /** Length of the window in milliseconds. */
  private final long windowMillis;

  /** Repeats for each request. */
  private final double ratio;

  /** Repeats that are allowed beside the ratio. */
  private final double allowance;

  /** Times of the requests in the window. */
  private final Deque<Long> requests = new ArrayDeque<>();

  /** Times of the repeats in the window. */
  private final Deque<Long> repeats = new ArrayDeque<>();

  /**
   * Creates an empty window.
   *
   * @param windowMillis the length of the window in milliseconds
   * @param ratio the repeats for each request that the fleet may make
   * @param allowance the repeats beside the ratio that this router may make in a window
   */
  public RetryLimiter(long windowMillis, double ratio, double allowance) {
    this.windowMillis = windowMillis;
    this.ratio = ratio * SAFETY;
    this.allowance = allowance;
  }

  /**
   * Counts a request.
   *
   * @param now the current time in milliseconds
   */
  public void onRequest(long now) {
    requests.addLast(now);
    expire(now);
  }

  /**
   * Takes a repeat if the window allows one.
   *
   * @param now the current time in milliseconds
   * @return true when the request may be sent again
   */
  public boolean tryAcquire(long now) {
    expire(now);
    if (repeats.size() + 1 > requests.size() * ratio + allowance) {
      return false;
    }
    repeats.addLast(now);
    return true;
  }

  /**
   * Drops what has left the window.
   *
   * @param now the current time in milliseconds
   */
  private void expire(long now) {
    while (!requests.isEmpty() && requests.peekFirst() <= now - windowMillis) {
      requests.removeFirst();
    }
    while (!repeats.isEmpty() && repeats.peekFirst() <= now - windowMillis) {
      repeats.removeFirst();
    }
  }
}
