package org.almondslip.execution;

/**
 * Limits of an agent.
 *
 * @param prefetch the requests that may be granted ahead of a free slot
 * @param grantMillis the time after which an unanswered grant expires
 * @param reattachMillis the time for which requests are kept after their connection was lost
 * @param progressMillis the longest time that a call may go without progress
 * @param windowBytes the unacknowledged bytes of one answer above which reading pauses
 * @param unacknowledgedBytes the unacknowledged bytes of all answers above which nothing is granted
 * @param probeMillis the interval between probes of a target that is not healthy
 * @param historySize the request ids that are remembered after their end
 */
public record AgentLimits(
    int prefetch,
    long grantMillis,
    long reattachMillis,
    long progressMillis,
    int windowBytes,
    long unacknowledgedBytes,
    long probeMillis,
    int historySize) {

  /** Limits of the design. */
  public static final AgentLimits DEFAULT =
      new AgentLimits(1, 2_000, 10_000, 30_000, 256 << 10, 16L << 20, 250, 100_000);

  /**
   * Returns limits with another prefetch.
   *
   * @param requests the requests that may be granted ahead of a free slot
   * @return the new limits
   */
  public AgentLimits withPrefetch(int requests) {
    return new AgentLimits(
        requests,
        grantMillis,
        reattachMillis,
        progressMillis,
        windowBytes,
        unacknowledgedBytes,
        probeMillis,
        historySize);
  }

  /**
   * Returns limits with other times.
   *
   * @param reattach the time for which requests are kept after their connection was lost
   * @param progress the longest time that a call may go without progress
   * @return the new limits
   */
  public AgentLimits withTimes(long reattach, long progress) {
    return new AgentLimits(
        prefetch,
        grantMillis,
        reattach,
        progress,
        windowBytes,
        unacknowledgedBytes,
        probeMillis,
        historySize);
  }

  /**
   * Returns limits with another window.
   *
   * @param bytes the unacknowledged bytes of one answer above which reading pauses
   * @return the new limits
   */
  public AgentLimits withWindow(int bytes) {
    return new AgentLimits(
        prefetch,
        grantMillis,
        reattachMillis,
        progressMillis,
        bytes,
        unacknowledgedBytes,
        probeMillis,
        historySize);
  }
}
