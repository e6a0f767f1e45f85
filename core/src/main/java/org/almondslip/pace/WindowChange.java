package org.almondslip.pace;

/** Why the window of a target has changed. */
public enum WindowChange {
  /** The target has started or recovered. */
  STARTED("started"),
  /** The target refused a request. */
  REFUSED("refused"),
  /** The target failed. */
  FAILED("failed"),
  /** The first event was late. */
  LATE("late"),
  /** Another router has decreased the window. */
  PEER("peer"),
  /** The window has reached the limits of the target. */
  ENDED("ended");

  private final String label;

  WindowChange(String label) {
    this.label = label;
  }

  /**
   * Returns the reason code for logs and metrics.
   *
   * @return the code
   */
  public String label() {
    return label;
  }
}
