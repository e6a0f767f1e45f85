package org.almondslip.routing;

import java.util.Map;

/**
 * Snapshot of the routing state for metrics.
 *
 * @param outcomes the ended requests by the label of their outcome, {@code ok} for complete answers
 * @param events the counts of events by name, such as {@code retry}
 * @param waitMillis the time that dispatched requests have waited in total, in milliseconds
 * @param waiting the waiting requests
 * @param inFlight the attempts whose end has not arrived
 * @param heldBytes the total size of buffered request bodies, in bytes
 * @param agents the connected agents
 */
public record RoutingStats(
    Map<String, Long> outcomes,
    Map<String, Long> events,
    long waitMillis,
    int waiting,
    int inFlight,
    long heldBytes,
    int agents) {

  /** State of a router that has just started. */
  public static final RoutingStats EMPTY = new RoutingStats(Map.of(), Map.of(), 0, 0, 0, 0, 0);
}
