package org.almondslip.dispatch;

/** Tokens sent in a millisecond, averaged with exponentially falling weights. */
final class SendRate {

  /** Time constant of the average in milliseconds. */
  private static final double TIME_CONSTANT_MILLIS = 2_000;

  /** Weighted tokens. */
  private double weighted;

  /** Time of the last change in milliseconds. */
  private long at = Long.MIN_VALUE;

  /**
   * Adds sent tokens.
   *
   * @param tokens the tokens
   * @param now the current time in milliseconds
   */
  void add(long tokens, long now) {
    decay(now);
    weighted += tokens;
  }

  /**
   * Returns the average.
   *
   * @param now the current time in milliseconds
   * @return the tokens in a millisecond
   */
  double tokensPerMilli(long now) {
    decay(now);
    return weighted / TIME_CONSTANT_MILLIS;
  }

  /**
   * Lowers the weights to a time.
   *
   * @param now the current time in milliseconds
   */
  private void decay(long now) {
    if (at != Long.MIN_VALUE && now > at) {
      weighted *= Math.exp((at - now) / TIME_CONSTANT_MILLIS);
    }
    at = now;
  }
}
