package org.almondslip.dispatch;

import java.util.Optional;

/**
 * State of the queue of a service at one moment.
 *
 * @param service the name of the service
 * @param waiting the jobs that wait
 * @param targets the known targets
 * @param openTargets the targets with room for further jobs
 * @param local the service of the organisations that wait at this router
 * @param elsewhere the service of the organisations that wait at other routers
 */
public record DispatchStatus(
    String service,
    int waiting,
    int targets,
    int openTargets,
    Optional<WaitingRange> local,
    Optional<WaitingRange> elsewhere) {}
