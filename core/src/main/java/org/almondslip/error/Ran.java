package org.almondslip.error;

/** Whether a request that got no answer of its target has run there. */
public enum Ran {
  /** It is certain that the request has not run and will not run. */
  NO("no"),

  /** The request may have run, may be running or may still run. */
  UNKNOWN("unknown"),

  /** The target has run the request. */
  YES("yes");

  /** Name in problem documents. */
  private final String label;

  /**
   * Creates a value.
   *
   * @param label the name in problem documents
   */
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
