package org.almondslip.dispatch;

/**
 * Snapshot of the queue of one service.
 *
 * @param service the name of the service
 * @param waitingJobs the number of waiting jobs
 * @param targets the number of known targets
 * @param availableTargets the number of targets that accept further jobs
 * @param evenShare the even share of an organisation in tokens, infinite while none lacks capacity
 * @param underservedOrganisations the number of organisations served clearly less than their share
 */
public record DispatchStatus(
    String service,
    int waitingJobs,
    int targets,
    int availableTargets,
    double evenShare,
    int underservedOrganisations) {}
