package org.almondslip.directory;

/**
 * Limits of the targets of a service.
 *
 * @param name the name of the service
 * @param maxConnections the connections that one target accepts from all routers together
 * @param memoryTokens the tokens that the memory of one engine holds, 0 for a plain service
 * @param eventTokens the generated tokens of one event of a stream, 0 for a plain service
 */
public record ServicePolicy(String name, int maxConnections, long memoryTokens, int eventTokens) {

  /**
   * Returns whether the targets are model engines.
   *
   * @return true when they are
   */
  public boolean engine() {
    return memoryTokens > 0;
  }
}
