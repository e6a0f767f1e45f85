package org.almondslip.dispatch;

/**
 * State of the queue of a service at one moment.
 *
 * @param service the name of the service
 * @param waiting the jobs that wait
 * @param targets the known targets
 * @param openTargets the targets with room for further jobs
 * @param share the even share of an organisation in tokens, infinite while nobody goes short
 * @param underserved the organisations that received clearly less than their share
 */
public record DispatchStatus(
    String service, int waiting, int targets, int openTargets, double share, int underserved) {}
