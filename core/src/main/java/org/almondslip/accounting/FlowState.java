package org.almondslip.accounting;

/**
 * What a digest says about a flow.
 *
 * @param accountMicros slot time divided by share in the whole fleet, in microseconds
 * @param backlogged whether requests of the flow wait somewhere in the fleet
 */
public record FlowState(long accountMicros, boolean backlogged) {}
