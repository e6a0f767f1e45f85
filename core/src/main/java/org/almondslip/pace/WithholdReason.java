package org.almondslip.pace;

/** Why a request that was dispatched to a target is not sent to it. */
public enum WithholdReason {
  /** The target was found to be cold after the request was dispatched. */
  BECAME_COLD("became_cold"),
  /** The connection took longer than the permit is valid. */
  PERMIT_EXPIRED("permit_expired");

  private final String label;

  WithholdReason(String label) {
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
