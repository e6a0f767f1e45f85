package org.almondslip.membership;

import org.almondslip.protocol.wire.Role;

/**
 * A process of the fleet as described by the instance list or by the process itself.
 *
 * @param instanceId the name of the instance
 * @param role whether the process is a router or an agent
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param innerAddress the address for inner connections, as {@code ip:port}
 * @param target the name of the target that an agent serves, empty for a router
 * @param leaving whether the instance is shutting down and gets no new work
 */
public record Member(
    String instanceId,
    Role role,
    String region,
    String dataCentre,
    String innerAddress,
    String target,
    boolean leaving) {}
