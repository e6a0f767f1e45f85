package org.almondslip.dispatch;

/**
 * State of the queue of a service at one moment.
 *
 * @param service the name of the service
 * @param waitingJobs the jobs that wait
 * @param targets the known targets
 * @param availableTargets the targets with room for further jobs
 * @param evenShare the even share of an organisation in tokens, infinite while nobody goes short
 * @param underservedOrganisations the organisations that received clearly less than their share
 */
public record DispatchStatus(
    String service,
    int waitingJobs,
    int targets,
    int availableTargets,
    double evenShare,
    int underservedOrganisations) {}
