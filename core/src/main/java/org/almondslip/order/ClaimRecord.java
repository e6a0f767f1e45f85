package org.almondslip.order;

/**
 * Record of a claimed idempotency key.
 *
 * @param identity the identity of the claim, which no other claim has
 */
public record ClaimRecord(String identity) {}
