package org.almondslip.pace;

/**
 * Pace of a target as reported to other routers.
 *
 * @param coldMillis the remaining time for which the target is cold, in milliseconds; {@link
 *     #WARM_MILLIS} if a health check has just found it to be warm, 0 if nothing is known
 * @param window the concurrent requests that all routers together may have at the target, 0 without
 *     a limit
 * @param decreases the number of decreases of that window so far
 */
public record PaceStatus(long coldMillis, int window, int decreases) {

  /** Status of a target about which there is nothing to report. */
  public static final PaceStatus NONE = new PaceStatus(0, 0, 0);

  /** Report that a health check has found the target to be warm. */
  static final long WARM_MILLIS = 1;
}
