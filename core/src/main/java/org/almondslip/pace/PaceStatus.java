package org.almondslip.pace;

/**
 * Pace of a target as reported to other routers.
 *
 * @param coldMillis the remaining time for which the target is cold, in milliseconds, 0 if nothing
 *     is known. Times up to {@link #MAX_WARM_MILLIS} are not reported as such; these numbers state
 *     how long ago a health check was sent that has found the target to be warm.
 * @param window the concurrent requests that all routers together may have at the target, 0 without
 *     a limit
 * @param decreases the number of decreases of that window so far
 */
public record PaceStatus(long coldMillis, int window, int decreases) {

  /** Status of a target about which there is nothing to report. */
  public static final PaceStatus NONE = new PaceStatus(0, 0, 0);

  /**
   * Maximum age of a health check that is reported, in milliseconds. It covers a check and two
   * reports between regions.
   */
  static final long MAX_WARM_MILLIS = 600;

  /** Returns whether a health check has found the target to be warm. */
  boolean isWarm() {
    return coldMillis > 0 && coldMillis <= MAX_WARM_MILLIS;
  }

  /** Returns whether the target is cold. */
  boolean isCold() {
    return coldMillis > MAX_WARM_MILLIS;
  }
}
