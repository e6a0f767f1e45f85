package org.almondslip.routing;

/**
 * Limits and intervals of the routing logic.
 *
 * @param queuePerFlow the maximum number of waiting requests per flow
 * @param queuePerOrganisation the maximum number of waiting requests per organisation
 * @param queuePerRouter the maximum number of waiting requests of the router
 * @param heldBytes the maximum total size of buffered request bodies, in bytes
 * @param firstOffers the number of agents that receive an offer at first and in each widening step
 * @param wideningMillis the interval between widening steps, in milliseconds
 * @param spillAfterMillis the wait after which agents in other regions receive offers, in
 *     milliseconds
 * @param reattachMillis the time within which an agent must reconnect, in milliseconds
 * @param noTargetMillis the time without candidate agents after which waiting requests are refused,
 *     in milliseconds
 * @param maxAttempts the maximum number of dispatches per request
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
   * Returns settings with another limit of buffered request bodies.
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
   * @param spillAfter the wait after which agents in other regions receive offers, in milliseconds
   * @param reattach the time within which an agent must reconnect, in milliseconds
   * @param noTarget the time without candidate agents after which waiting requests are refused, in
   *     milliseconds
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
