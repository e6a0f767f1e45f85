package org.almondslip.membership;

import org.almondslip.protocol.wire.Role;

/**
 * A process of the fleet as the instance list or an announcement gives it.
 *
 * @param instanceId the name of the instance
 * @param role whether the process is a router or an agent
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param innerAddress the address for inner connections, as {@code ip:port}
 * @param target the target beside an agent, empty for a router
 * @param leaving whether the instance is about to stop
 */
public record Member(
    String instanceId,
    Role role,
    String region,
    String dataCentre,
    String innerAddress,
    String target,
    boolean leaving) {}
