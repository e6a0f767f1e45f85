package org.almondslip.dispatch;

/** Reason why a request is refused before it is sent to a target. */
public enum RefusalReason {
  /** The expected wait behind other requests exceeds the objective of the request. */
  EXPECTED_WAIT("expected_wait"),
  /** The request waited until no target could serve it in time. */
  EXPIRED("expired"),
  /** The queue has reached its maximum size. */
  QUEUE_FULL("queue_full"),
  /** No target of the service accepts requests. */
  NO_TARGET("no_target"),
  /** The request waited until it was late, and no target has memory for its prompt. */
  TARGET_MEMORY("target_memory"),
  /** The prompt contains a segment that has crashed targets. */
  QUARANTINED("quarantined"),
  /** The event loop of the router lags so far that the request may have waited too long already. */
  EVENT_LOOP_DELAY("event_loop_delay");

  private final String label;

  /**
   * Creates a reason.
   *
   * @param label the name in logs and metrics
   */
  RefusalReason(String label) {
    this.label = label;
  }

  /**
   * Returns the name in logs and metrics.
   *
   * @return the name
   */
  public String label() {
    return label;
  }
}
