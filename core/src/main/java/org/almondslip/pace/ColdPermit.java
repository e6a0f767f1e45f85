package org.almondslip.pace;

/**
 * Permit to send one request to a target.
 *
 * @param period the number of the cold period for which it was taken, 0 if the target was warm
 * @param takenAt the time at which it was taken, in milliseconds
 */
public record ColdPermit(long period, long takenAt) {

  /**
   * Time for which a permit is valid, in milliseconds. Requests that were sent after longer and
   * shorter waits for their connections would otherwise reach the target within the same second.
   */
  static final long VALID_MILLIS = 500;
}
