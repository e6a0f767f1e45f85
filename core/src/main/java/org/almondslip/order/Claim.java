package org.almondslip.order;

/**
 * A claim that this agent holds.
 *
 * @param order the claimed order
 * @param version the row version of the claim record, at least 1
 * @param record the claim record in state {@link ClaimState#STARTED}
 */
public record Claim(Order order, long version, ClaimRecord record) {}
