package org.almondslip.report;

/**
 * Tokens that requests hold at a target, as last reported. They are reported when they have changed
 * or are due for a refresh, since receivers ignore old ones.
 */
final class ReportedTokens {

  /** Number of reports that include a change. */
  private final int repeats;

  private long tokens;

  /** Number of remaining reports that include this change. */
  private int remainingReports;

  /** Number of reports since the last one that included the tokens. */
  private int omittedReports;

  private boolean due;

  /**
   * Creates tokens that were never reported.
   *
   * @param repeats the number of reports that include a change
   */
  ReportedTokens(int repeats) {
    this.repeats = repeats;
  }

  /**
   * Records the current number before a report.
   *
   * @param current the number of tokens
   * @param refreshReports the number of reports after which an unchanged number is included again
   */
  void update(long current, int refreshReports) {
    if (tokens != current) {
      tokens = current;
      remainingReports = repeats;
    }
    omittedReports++;
    due = tokens > 0 && (remainingReports > 0 || omittedReports >= refreshReports);
  }

  /** Returns whether the next report includes the tokens. */
  boolean isDue() {
    return due;
  }

  /** Returns the number for the report that is created, 0 if it is not included. */
  int take() {
    if (!due) {
      return 0;
    }
    due = false;
    remainingReports--;
    omittedReports = 0;
    return (int) Math.min(tokens, Integer.MAX_VALUE);
  }
}
