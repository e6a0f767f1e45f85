package org.almondslip.accounting;

/**
 * State of a flow in a digest.
 *
 * @param accountMicros slot time divided by share in the whole fleet, in microseconds
 * @param backlogged whether any agent of the fleet has waiting requests of the flow
 */
public record FlowState(long accountMicros, boolean backlogged) {}
