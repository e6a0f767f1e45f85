package org.almondslip.pace;

/** Why a target is taken to be cold or warm. */
public enum ColdReason {
  /** The directory entry of the target says so. */
  ENTRY("entry"),
  /** The target has started during traffic. */
  STARTED("started"),
  /** A response to a health check says so. */
  HEALTH("health"),
  /** A selected router says so, which knows it from the target or from its entry. */
  PEER("peer"),
  /**
   * Another router had connection failures. The cause may be its own links, so this only makes the
   * selected routers check the target.
   */
  SUSPECTED("suspected"),
  /** The target refused or lost consecutive connections and may have restarted. */
  CONNECTIONS("connections"),
  /** The evacuation of its data centre was taken back. */
  EVACUATION("evacuation"),
  /** The time for which the target was taken to be cold has passed. */
  ELAPSED("elapsed");

  private final String label;

  ColdReason(String label) {
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
