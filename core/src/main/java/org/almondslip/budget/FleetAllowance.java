package org.almondslip.budget;

/**
 * Divides the retries that the fleet may make in addition to the ratio among its routers.
 *
 * <p>The number of routers comes from the list in which routers register. A router that has left
 * may still be listed, which makes the parts smaller than necessary but never too large.
 */
public final class FleetAllowance {

  /** Number of routers that is assumed before the list has been read. */
  private static final int ASSUMED_ROUTERS = 40;

  /**
   * Fraction of the allowance that is divided. The rest covers routers that restart: they forget
   * the retries of their window and may use their part again.
   */
  private static final double DIVIDED_FRACTION = 0.5;

  private final double fleetAllowance;

  private int routers = ASSUMED_ROUTERS;

  /**
   * Creates an allowance for a fleet of unknown size.
   *
   * @param fleetAllowance the retries per window of the whole fleet
   */
  public FleetAllowance(double fleetAllowance) {
    this.fleetAllowance = fleetAllowance;
  }

  /**
   * Sets the number of routers.
   *
   * @param count the number of listed routers, at least 1
   */
  public void setRouters(int count) {
    routers = Math.max(1, count);
  }

  /**
   * Returns the part of one router.
   *
   * @return the retries per window
   */
  public double perRouter() {
    return fleetAllowance * DIVIDED_FRACTION / routers;
  }
}
