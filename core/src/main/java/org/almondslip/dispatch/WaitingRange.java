package org.almondslip.dispatch;

/**
 * Service that organisations with waiting jobs received lately.
 *
 * @param least the service of the organisation with the least, in tokens
 * @param most the service of the organisation with the most, in tokens
 */
public record WaitingRange(double least, double most) {

  /**
   * Returns the range that covers this one and another.
   *
   * @param other the other range
   * @return the range
   */
  WaitingRange merge(WaitingRange other) {
    return new WaitingRange(Math.min(least, other.least), Math.max(most, other.most));
  }
}
