package org.almondslip.routing;

/**
 * Token bucket that limits retries to a tenth of the requests plus a constant rate.
 *
 * <p>Without a limit, retries multiply the load at the time when targets are failing.
 */
final class RetryBudget {

  /** Tokens added for each request of a caller. */
  private static final double TOKENS_PER_REQUEST = 0.1;

  /** Tokens added per millisecond; 3 per second. */
  private static final double TOKENS_PER_MILLI = 0.003;

  /** Capacity of the bucket; 10 seconds of the constant rate. */
  private static final double CAPACITY = 30;

  private double tokens = CAPACITY;

  /** Time up to which the constant rate has been added, in milliseconds. */
  private long refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param now the current time, in milliseconds
   */
  RetryBudget(long now) {
    this.refilledAt = now;
  }

  /** Adds the tokens for a new request. */
  void onRequest() {
    tokens = Math.min(CAPACITY, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * Takes a token if one is available.
   *
   * @param now the current time, in milliseconds
   * @return true when a retry is allowed
   */
  boolean tryAcquire(long now) {
    tokens = Math.min(CAPACITY, tokens + (now - refilledAt) * TOKENS_PER_MILLI);
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
