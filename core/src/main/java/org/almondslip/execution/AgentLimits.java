package org.almondslip.execution;

/**
 * Limits of an agent.
 *
 * @param prefetch the minimum number of requests to grant ahead of a free slot
 * @param grantMillis the time after which an unanswered grant expires, in milliseconds
 * @param reattachMillis the time for which requests are kept after their connection was lost, in
 *     milliseconds
 * @param progressMillis the longest time that a call may go without progress, in milliseconds
 * @param windowBytes the unacknowledged bytes of one answer above which reading pauses
 * @param unacknowledgedBytes the unacknowledged bytes of all answers above which nothing is granted
 * @param probeMillis the interval between probes of an unhealthy target, in milliseconds
 * @param historySize the maximum number of ended requests to remember
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

  /** Default limits. */
  public static final AgentLimits DEFAULT =
      new AgentLimits(1, 2_000, 10_000, 30_000, 256 << 10, 16L << 20, 250, 100_000);

  /**
   * Returns a copy of these limits with the given prefetch.
   *
   * @param requests the minimum number of requests to grant ahead of a free slot
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
   * Returns a copy of these limits with the given timeouts, in milliseconds.
   *
   * @param reattach the time for which requests are kept after their connection was lost, in
   *     milliseconds
   * @param progress the longest time that a call may go without progress, in milliseconds
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
   * Returns a copy of these limits with the given window.
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
