package org.almondslip.dispatch;

/** Sum whose parts lose weight exponentially with their age. */
final class DecayingSum {

  /** Time in which a part loses all but 1/e of its weight, in milliseconds. */
  private final double timeConstantMillis;

  /** Weighted sum. */
  private double sum;

  /** Time of the last change in milliseconds. */
  private long changedAt = Long.MIN_VALUE;

  /**
   * Creates an empty sum.
   *
   * @param timeConstantMillis the time in which a part loses all but 1/e of its weight, in
   *     milliseconds
   */
  DecayingSum(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  /**
   * Adds a part.
   *
   * @param amount the amount
   * @param now the current time in milliseconds
   */
  void add(double amount, long now) {
    sum = at(now) + amount;
    changedAt = now;
  }

  /**
   * Returns the weighted sum.
   *
   * @param now the current time in milliseconds
   * @return the sum
   */
  double at(long now) {
    return changedAt == Long.MIN_VALUE || now <= changedAt
        ? sum
        : sum * Math.exp((changedAt - now) / timeConstantMillis);
  }
}
