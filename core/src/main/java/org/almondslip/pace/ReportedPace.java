package org.almondslip.pace;

/** Pace of a target as last reported, to find out whether a change is to be reported. */
public final class ReportedPace {

  /**
   * Difference of the end of a cold period that counts as a change, in milliseconds. Receivers take
   * smaller ones for the variation of transfer times.
   */
  private static final long END_TOLERANCE_MILLIS = 500;

  private PaceStatus last = PaceStatus.NONE;

  /** End of the cold period in milliseconds. */
  private long lastEnd;

  /**
   * Records the current status.
   *
   * @param status the status
   * @param now the current time in milliseconds
   * @return true if it differs from the one that was reported last
   */
  public boolean update(PaceStatus status, long now) {
    long end = status.isCold() ? now + status.coldMillis() : 0;
    boolean changed =
        Math.abs(end - lastEnd) > END_TOLERANCE_MILLIS
            || status.isWarm() != last.isWarm()
            || status.window() != last.window()
            || status.decreases() != last.decreases();
    if (changed) {
      lastEnd = end;
    }
    last = status;
    return changed;
  }

  /**
   * Returns the status of the latest update.
   *
   * @return the status
   */
  public PaceStatus last() {
    return last;
  }
}
