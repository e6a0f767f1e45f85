package org.almondslip.execution;

/** Why an agent takes no new work. */
public enum DrainReason {
  /** The process was asked to stop. */
  PLANNED_STOP("the agent stops"),
  /** The catalog says that the target is leaving. */
  TARGET_LEAVING("the target is leaving"),
  /** The instance list says that the instance is leaving. */
  INSTANCE_LEAVING("the instance is leaving");

  /** Reason for people. */
  private final String detail;

  /**
   * Creates a reason.
   *
   * @param detail the reason for people
   */
  DrainReason(String detail) {
    this.detail = detail;
  }

  /**
   * Returns the reason for people.
   *
   * @return the reason
   */
  String detail() {
    return detail;
  }
}
