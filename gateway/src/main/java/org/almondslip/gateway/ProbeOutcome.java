package org.almondslip.gateway;

/** Outcome of a health check of a cold target. */
enum ProbeOutcome {
  /** The target says that it is no longer cold. */
  WARM("warm"),
  /** The target says that it is still cold. */
  COLD("cold"),
  /** The response says nothing about it. */
  NO_STATEMENT("no_statement"),
  /** Another instance responded, which uses the same address. */
  OTHER_INSTANCE("other_instance"),
  /** The connection was refused or lost. */
  NOT_CONNECTED("not_connected"),
  /** The bytes of the target were no response. */
  INVALID_RESPONSE("invalid_response"),
  /** There was no response in time. */
  TIMEOUT("timeout");

  private final String label;

  ProbeOutcome(String label) {
    this.label = label;
  }

  /** Returns the reason code for logs and metrics. */
  String label() {
    return label;
  }
}
