package org.almondslip.gateway;

/** How far the response to an attempt has come. */
enum AttemptPhase {
  /** The request was sent and no response head has arrived. */
  SENT("sent"),
  /** The response head has arrived, but no complete event and no complete body. */
  HEAD_RECEIVED("head_received"),
  /** At least one complete event has arrived. */
  STREAMING("streaming");

  private final String label;

  /**
   * Creates a phase.
   *
   * @param label the name in logs and metrics
   */
  AttemptPhase(String label) {
    this.label = label;
  }

  /** Returns the name in logs and metrics. */
  String label() {
    return label;
  }
}
