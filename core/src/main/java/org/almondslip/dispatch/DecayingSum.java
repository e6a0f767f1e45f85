package org.almondslip.dispatch;

/** Sum of amounts that decay exponentially with their age. */
final class DecayingSum {

  private final double timeConstantMillis;

  /** Sum as of the last addition. */
  private double sum;

  /** Time of the last addition in milliseconds, {@link Long#MIN_VALUE} before the first one. */
  private long updatedAt = Long.MIN_VALUE;

  /**
   * Creates an empty sum.
   *
   * @param timeConstantMillis the time in which an amount decays to 1/e of its value, in
   *     milliseconds
   */
  DecayingSum(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  /**
   * Adds an amount.
   *
   * @param amount the amount
   * @param now the current time in milliseconds
   */
  void add(double amount, long now) {
    sum = at(now) + amount;
    updatedAt = now;
  }

  /**
   * Returns the decayed sum; a time before the last addition yields the sum without decay.
   *
   * @param now the current time in milliseconds
   * @return the sum, 0 before the first addition
   */
  double at(long now) {
    return updatedAt == Long.MIN_VALUE || now <= updatedAt
        ? sum
        : sum * Math.exp((updatedAt - now) / timeConstantMillis);
  }
}
