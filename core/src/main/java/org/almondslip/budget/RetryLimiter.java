package org.almondslip.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries of one router to a share of its requests within a sliding window.
 *
 * <p>Each router counts only its own requests and retries, so the total over the fleet stays within
 * the fleet's retry budget without coordination. A restarted router begins with empty counts and
 * may retry only as much as its new requests allow, plus its part of the allowance.
 */
public final class RetryLimiter {

  /**
   * Fraction of the configured ratio that is used. The remainder covers requests that leave the
   * window before their retries do.
   */
  private static final double SAFETY_FACTOR = 0.7;

  private final long windowMillis;

  /** Retries per request, reduced by {@link #SAFETY_FACTOR}. */
  private final double effectiveRatio;

  private final DoubleSupplier allowance;

  /** Arrival times of the requests in the window, in milliseconds, oldest first. */
  private final Deque<Long> requestTimes = new ArrayDeque<>();

  /** Times of the retries in the window, in milliseconds, oldest first. */
  private final Deque<Long> retryTimes = new ArrayDeque<>();

  /**
   * Creates a limiter without recorded requests.
   *
   * @param windowMillis the length of the window, in milliseconds
   * @param ratio the number of retries per request that the fleet may make
   * @param allowance returns the number of retries per window that this router may make in addition
   *     to the ratio
   */
  public RetryLimiter(long windowMillis, double ratio, DoubleSupplier allowance) {
    this.windowMillis = windowMillis;
    this.effectiveRatio = ratio * SAFETY_FACTOR;
    this.allowance = allowance;
  }

  /**
   * Records a request, which increases the number of permitted retries.
   *
   * @param now the current time, in milliseconds
   */
  public void onRequest(long now) {
    requestTimes.addLast(now);
    expire(now);
  }

  /**
   * Acquires a permit for one retry if the window allows it.
   *
   * @param now the current time, in milliseconds
   * @return true if the request may be retried; the retry is then counted
   */
  public boolean tryAcquire(long now) {
    expire(now);
    double permitted = requestTimes.size() * effectiveRatio + allowance.getAsDouble();
    if (retryTimes.size() + 1 > permitted) {
      return false;
    }
    retryTimes.addLast(now);
    return true;
  }

  private void expire(long now) {
    while (!requestTimes.isEmpty() && requestTimes.peekFirst() <= now - windowMillis) {
      requestTimes.removeFirst();
    }
    while (!retryTimes.isEmpty() && retryTimes.peekFirst() <= now - windowMillis) {
      retryTimes.removeFirst();
    }
  }
}
