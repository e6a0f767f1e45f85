package org.almondslip.execution;

/** Reason for which an agent refuses new requests. */
public enum DrainReason {
  /** The process is shutting down. */
  PLANNED_STOP("the agent stops"),
  /** The catalog says that the target is leaving. */
  TARGET_LEAVING("the target is leaving"),
  /** The instance list says that the instance is leaving. */
  INSTANCE_LEAVING("the instance is leaving");

  /** Human-readable reason. */
  private final String detail;

  /**
   * Creates a reason.
   *
   * @param detail the human-readable reason
   */
  DrainReason(String detail) {
    this.detail = detail;
  }

  /**
   * Returns the human-readable reason.
   *
   * @return the reason
   */
  String detail() {
    return detail;
  }
}
