package org.almondslip.routing;

/**
 * State shared by the components of the routing logic.
 *
 * @param settings the limits and intervals
 * @param requests the requests whose callers wait
 * @param queues the queues
 * @param inFlight the attempts in flight
 * @param agents the connected agents
 * @param ejector the ejected targets
 * @param suspects the crash records and their distribution
 * @param costs the costs of past requests
 * @param budget the retry budget
 * @param counters the counters
 */
record RouterState(
    RoutingSettings settings,
    RequestTable requests,
    RequestQueues queues,
    InFlightTable inFlight,
    AgentTable agents,
    OutlierEjector ejector,
    SuspectBroadcaster suspects,
    CostEstimator costs,
    RetryBudget budget,
    RoutingCounters counters) {}
