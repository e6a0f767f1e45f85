package org.almondslip.dispatch;

/** Relation between the service that an organisation received and its share of the capacity. */
enum ShareStatus {
  /** The organisation received clearly less than its share. */
  UNDERSERVED(1, 1),
  /** The organisation received about its share, or all that it requested. */
  EVEN(1, 1),
  /** The organisation received clearly more than its share while another one is underserved. */
  OVERSERVED(0.35, 0.8);

  private final double prefillFraction;

  private final double slotFraction;

  /**
   * Creates a status.
   *
   * @param prefillFraction the usable fraction of the pending prefill limit of an engine
   * @param slotFraction the usable fraction of the slots of a target
   */
  ShareStatus(double prefillFraction, double slotFraction) {
    this.prefillFraction = prefillFraction;
    this.slotFraction = slotFraction;
  }

  /**
   * Returns the fraction of an engine's pending prefill limit that the organisation may use; the
   * rest is reserved for other organisations.
   */
  double prefillFraction() {
    return prefillFraction;
  }

  /**
   * Returns the fraction of a target's slots that the organisation may use; the rest is reserved
   * for other organisations.
   */
  double slotFraction() {
    return slotFraction;
  }
}
