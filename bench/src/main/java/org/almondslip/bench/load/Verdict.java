package org.almondslip.bench.load;

/** What a check of an answer found. */
public enum Verdict {
  /** The answer is whole and belongs to its request. */
  CORRECT,
  /** The answer ended early. */
  INCOMPLETE,
  /** A token is missing in the middle. */
  MISSING_TOKEN,
  /** A token came twice. */
  REPEATED_TOKEN,
  /** A token or a whole answer belongs to another request. */
  FOREIGN_TOKEN,
  /** The stream reported an error in place of its end. */
  ERROR_EVENT;

  /**
   * Returns whether the caller got something that is not its answer.
   *
   * @return true when the answer is wrong rather than missing
   */
  public boolean isWrong() {
    return this == MISSING_TOKEN || this == REPEATED_TOKEN || this == FOREIGN_TOKEN;
  }
}
