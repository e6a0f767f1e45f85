package org.almondslip.routing;

/**
 * Limits and intervals of a router.
 *
 * @param queuePerFlow the largest number of waiting requests of one flow
 * @param queuePerOrganisation the largest number of waiting requests of one organisation
 * @param queuePerRouter the largest number of waiting requests of all organisations
 * @param heldBytes the largest total size of request bodies held, in bytes
 * @param firstOffers the agents that get an offer at once, and in each widening step
 * @param wideningMillis the interval between widening steps, in milliseconds
 * @param spillAfterMillis the wait after which other regions get offers, in milliseconds
 * @param reattachMillis the time for a lost connection to come back, in milliseconds
 * @param noTargetMillis the time without any agent after which waiting requests are refused
 * @param maxAttempts the largest number of dispatches of one request
 */
public record RoutingSettings(
    int queuePerFlow,
    int queuePerOrganisation,
    int queuePerRouter,
    long heldBytes,
    int firstOffers,
    long wideningMillis,
    long spillAfterMillis,
    long reattachMillis,
    long noTargetMillis,
    int maxAttempts) {

  /** Settings of a production router; the bodies take a quarter of its 96 MB heap. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(256, 512, 2048, 16L << 20, 3, 10, 50, 10_000, 5_000, 3);

  /**
   * Returns settings with other queue limits.
   *
   * @param perFlow the limit of one flow
   * @param perOrganisation the limit of one organisation
   * @param perRouter the limit of the router
   * @return the new settings
   */
  public RoutingSettings withQueues(int perFlow, int perOrganisation, int perRouter) {
    return new RoutingSettings(
        perFlow,
        perOrganisation,
        perRouter,
        heldBytes,
        firstOffers,
        wideningMillis,
        spillAfterMillis,
        reattachMillis,
        noTargetMillis,
        maxAttempts);
  }

  /**
   * Returns settings with another limit of held bodies.
   *
   * @param bytes the limit in bytes
   * @return the new settings
   */
  public RoutingSettings withHeldBytes(long bytes) {
    return new RoutingSettings(
        queuePerFlow,
        queuePerOrganisation,
        queuePerRouter,
        bytes,
        firstOffers,
        wideningMillis,
        spillAfterMillis,
        reattachMillis,
        noTargetMillis,
        maxAttempts);
  }

  /**
   * Returns settings with other time limits.
   *
   * @param spillAfter the wait after which other regions get offers, in milliseconds
   * @param reattach the time for a lost connection to come back, in milliseconds
   * @param noTarget the time without any agent after which waiting requests are refused
   * @return the new settings
   */
  public RoutingSettings withTimes(long spillAfter, long reattach, long noTarget) {
    return new RoutingSettings(
        queuePerFlow,
        queuePerOrganisation,
        queuePerRouter,
        heldBytes,
        firstOffers,
        wideningMillis,
        spillAfter,
        reattach,
        noTarget,
        maxAttempts);
  }
}
