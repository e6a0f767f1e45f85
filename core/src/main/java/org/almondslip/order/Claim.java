package org.almondslip.order;

/**
 * A claim that this agent holds.
 *
 * @param order the order
 * @param version the version of the claim record
 * @param record the claim record
 */
public record Claim(Order order, long version, ClaimRecord record) {}
