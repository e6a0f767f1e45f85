package org.almondslip.membership;

import org.almondslip.protocol.wire.Role;

/**
 * Identity of a process of the fleet towards its peers.
 *
 * @param instanceId the name of the instance in the instance list
 * @param incarnation a number that is unique to each start of the process and increases with each
 *     start, compared as unsigned
 * @param role whether the process is a router or an agent
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param innerAddress the address for inner connections, as {@code ip:port}
 * @param target the name of the target that an agent serves, empty for a router
 */
public record PeerIdentity(
    String instanceId,
    long incarnation,
    Role role,
    String region,
    String dataCentre,
    String innerAddress,
    String target) {

  /**
   * Returns a copy with another address for inner connections.
   *
   * @param address the address as {@code ip:port}
   * @return the new identity
   */
  public PeerIdentity withInnerAddress(String address) {
    return new PeerIdentity(instanceId, incarnation, role, region, dataCentre, address, target);
  }
}
