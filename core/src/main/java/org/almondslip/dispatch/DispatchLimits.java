package org.almondslip.dispatch;

/**
 * Limits of queues and targets.
 *
 * @param maxPendingPrefillMillis the pending prefill of an engine in milliseconds, from which on it
 *     accepts no further job
 * @param maxEngineSlotFraction the fraction of an engine's slots that jobs may occupy; each running
 *     job slows down token generation of all others
 * @param maxRepeatedPrefillTokens the shared tokens that a job may prefill again during its
 *     locality wait
 * @param maxWaitingJobs the number of jobs that may wait for one service
 * @param retryAfterMillis the minimum delay after which a refused caller may retry, in milliseconds
 * @param boundsTargetMemory whether requests are sent only to targets that have memory for them;
 *     needed where engines crash instead of refusing such requests
 */
public record DispatchLimits(
    double maxPendingPrefillMillis,
    double maxEngineSlotFraction,
    int maxRepeatedPrefillTokens,
    int maxWaitingJobs,
    long retryAfterMillis,
    boolean boundsTargetMemory) {

  /**
   * Default limits. A pending prefill of 150 ms keeps an engine busy during a round trip between
   * regions and the interval of peer reports, and leaves most of an objective of 500 ms. An engine
   * prefills prompts between the decoding steps of its running jobs, so more running jobs would
   * only finish later.
   */
  public static final DispatchLimits DEFAULT =
      new DispatchLimits(150, 0.35, 512, 2_000, 500, false);

  /**
   * Returns the same limits with or without the bound on the memory of targets.
   *
   * @param bounds whether requests are sent only to targets that have memory for them
   * @return the limits
   */
  public DispatchLimits withBoundsTargetMemory(boolean bounds) {
    return new DispatchLimits(
        maxPendingPrefillMillis,
        maxEngineSlotFraction,
        maxRepeatedPrefillTokens,
        maxWaitingJobs,
        retryAfterMillis,
        bounds);
  }
}
