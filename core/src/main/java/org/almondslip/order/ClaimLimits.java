package org.almondslip.order;

/**
 * Time and size limits of claims and of the writes that are retried for them.
 *
 * @param claimMillis the maximum duration of a claim attempt, in milliseconds
 * @param retryMillis the delay before the first retry of a store call, in milliseconds
 * @param maxRetryMillis the maximum delay between retries, in milliseconds
 * @param pendingRecords the maximum number of pending writes in each retry queue
 * @param pendingBytes the maximum size of the bodies that pending writes hold, in bytes
 * @param inlineBytes the maximum size of a body that is stored in the record, in bytes
 */
public record ClaimLimits(
    long claimMillis,
    long retryMillis,
    long maxRetryMillis,
    int pendingRecords,
    long pendingBytes,
    int inlineBytes) {

  /** Default limits. */
  public static final ClaimLimits DEFAULT =
      new ClaimLimits(2_000, 100, 5_000, 1_000, 8L << 20, 16 << 10);
}
