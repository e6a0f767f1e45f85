package org.almondslip.error;

/** Whether a target has executed a request for which it returned no response. */
public enum Ran {
  /** The request has not run and will not run. */
  NO("no"),

  /** The request may have run, may be running or may run later. */
  UNKNOWN("unknown"),

  /** The request has run. */
  YES("yes");

  private final String label;

  Ran(String label) {
    this.label = label;
  }

  /**
   * Returns the name in problem documents.
   *
   * @return the name
   */
  public String label() {
    return label;
  }
}
