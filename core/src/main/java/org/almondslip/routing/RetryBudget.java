package org.almondslip.routing;

/**
 * Token bucket that limits retries to a tenth of the requests plus a constant rate.
 *
 * <p>Without a limit, retries multiply the load exactly when targets fail.
 */
final class RetryBudget {

  /** Tokens for each request of a caller. */
  private static final double TOKENS_PER_REQUEST = 0.1;

  /** Tokens for each millisecond; 3 a second. */
  private static final double TOKENS_PER_MILLI = 0.003;

  /** Largest number of tokens; 10 seconds of the constant rate. */
  private static final double CAPACITY = 30;

  /** Tokens available. */
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

  /** Adds the tokens for a request. */
  void onRequest() {
    tokens = Math.min(CAPACITY, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * Takes a token if there is one.
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
