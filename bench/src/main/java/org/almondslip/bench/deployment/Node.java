package org.almondslip.bench.deployment;

import java.util.Optional;

/**
 * An instance of a deployment.
 *
 * @param instance the identity
 * @param region the region
 * @param dataCentre the data centre
 * @param host the loopback address
 * @param basePort the first port
 * @param pool the pool of the target beside it, empty for a router
 */
public record Node(
    String instance,
    String region,
    String dataCentre,
    String host,
    int basePort,
    Optional<Pool> pool) {

  /** Ports of an instance, counted from the first one. */
  public enum Port {
    /** Callers' address of a router. */
    LISTEN,
    /** Address of the inner protocol. */
    INNER,
    /** Operators' address of a router. */
    ADMIN,
    /** Health, readiness and metrics. */
    OPERATIONS,
    /** Target beside an agent. */
    TARGET
  }

  /**
   * Returns an address.
   *
   * @param port the port
   * @return the address as {@code ip:port}
   */
  public String address(Port port) {
    return host + ":" + (basePort + port.ordinal());
  }

  /**
   * Returns the name of the target beside the instance.
   *
   * @return the name
   */
  public String target() {
    return "target-" + instance;
  }
}
