package org.almondslip.order;

/**
 * Limits of claims.
 *
 * @param claimMillis the longest time that claiming a key may take
 * @param retryMillis the time before the first retry of a call to a store
 * @param maxRetryMillis the longest time between retries
 * @param pendingRecords the records that may wait for the store
 * @param pendingBytes the bytes of answers that may wait for the store
 * @param inlineBytes the size up to which a body is kept in the record
 */
public record ClaimLimits(
    long claimMillis,
    long retryMillis,
    long maxRetryMillis,
    int pendingRecords,
    long pendingBytes,
    int inlineBytes) {

  /** Limits of the design. */
  public static final ClaimLimits DEFAULT =
      new ClaimLimits(2_000, 100, 5_000, 1_000, 8L << 20, 16 << 10);
}
