package org.almondslip.dispatch;

/** Why a request is refused before it is sent. */
public enum RefusalReason {
  /** The requests that are ahead of it take longer than its objective allows. */
  EXPECTED_WAIT("expected_wait"),
  /** It waited until no target could serve it in time. */
  EXPIRED("expired"),
  /** As many requests wait as the queue holds. */
  QUEUE_FULL("queue_full"),
  /** No target of the service takes requests. */
  NO_TARGET("no_target"),
  /** The router is so far behind its load that the request may have waited too long already. */
  EVENT_LOOP_DELAY("event_loop_delay");

  /** Name in logs and metrics. */
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
