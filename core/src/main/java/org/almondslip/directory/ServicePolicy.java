package org.almondslip.directory;

/**
 * Properties that the operator configures for the targets of a service.
 *
 * @param name the name of the service
 * @param kvCapacityTokens the capacity of an engine's key-value cache, in tokens; 0 for a service
 *     without engines
 * @param coldStartMillis the time for which a target is cold after its start, in milliseconds
 * @param coldRequestsPerSecond the requests per second that a cold target tolerates; 0 if targets
 *     need no warm-up
 * @param healthPath the path of the health check, empty without one
 */
public record ServicePolicy(
    String name,
    long kvCapacityTokens,
    long coldStartMillis,
    double coldRequestsPerSecond,
    String healthPath) {

  /**
   * Creates the policy of a service whose targets need no warm-up.
   *
   * @param name the name of the service
   * @param kvCapacityTokens the capacity of an engine's key-value cache, in tokens
   */
  public ServicePolicy(String name, long kvCapacityTokens) {
    this(name, kvCapacityTokens, 0, 0, "");
  }
}
