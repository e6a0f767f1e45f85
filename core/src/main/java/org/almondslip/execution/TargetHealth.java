package org.almondslip.execution;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether the target answers, and whether a broken connection was a crash.
 *
 * <p>A reset opens a suspicion over all calls in flight. It is a crash when the target does not
 * answer the next probe, or when every call in flight was lost; the latter covers a target that
 * restarts faster than it is probed. A false mark costs one exclusive run, a missed one may cost a
 * target, so the rule prefers to mark.
 */
final class TargetHealth {

  /**
   * Time for the resets of one crash to arrive before the suspicion is decided, in milliseconds.
   */
  private static final long SETTLE_MILLIS = 50;

  /** Interval between probes, in milliseconds. */
  private final long probeMillis;

  /** Fingerprints of the calls in flight when the suspicion was opened, by token. */
  private final Map<Long, Long> suspected = new HashMap<>();

  /** Suspected calls that have not ended yet. */
  private final Set<Long> undecided = new HashSet<>();

  /** Calls that were in flight at a crash that has been counted. */
  private final Set<Long> counted = new HashSet<>();

  /** Whether the target answered the last probe. */
  private boolean healthy;

  /** Whether a probe is under way. */
  private boolean probing;

  /** Whether a suspicion is open. */
  private boolean suspicious;

  /** When the suspicion was opened, in milliseconds. */
  private long suspiciousSince;

  /** When the next probe is due, in milliseconds. */
  private long nextProbeAt;

  /**
   * Creates the state of a target that has not been probed.
   *
   * @param probeMillis the interval between probes, in milliseconds
   */
  TargetHealth(long probeMillis) {
    this.probeMillis = probeMillis;
  }

  /**
   * Notes a reset of a call.
   *
   * @param token the call
   * @param inFlight the fingerprints of all calls in flight by token, this one included
   * @param now the current time, in milliseconds
   */
  void onReset(long token, Map<Long, Long> inFlight, long now) {
    if (counted.contains(token)) {
      return;
    }
    if (!suspicious) {
      suspicious = true;
      suspiciousSince = now;
      nextProbeAt = now;
      suspected.putAll(inFlight);
      undecided.addAll(inFlight.keySet());
      counted.forEach(suspected::remove);
      undecided.removeAll(counted);
    }
  }

  /**
   * Notes the end of a call.
   *
   * @param token the call
   * @param complete whether its answer was complete
   */
  void onEnded(long token, boolean complete) {
    counted.remove(token);
    undecided.remove(token);
    if (complete) {
      suspected.remove(token);
    }
  }

  /**
   * Notes that the target refused a connection.
   *
   * @param now the current time, in milliseconds
   */
  void onUnreachable(long now) {
    healthy = false;
    nextProbeAt = now;
  }

  /**
   * Returns whether a probe is due, and notes that it starts.
   *
   * @param now the current time, in milliseconds
   * @return true when the target has to be probed now
   */
  boolean startProbe(long now) {
    boolean due = !usable() && !probing && now >= nextProbeAt;
    probing |= due;
    return due;
  }

  /**
   * Takes the result of a probe.
   *
   * @param answered whether the target answered
   * @param now the current time, in milliseconds
   * @return the fingerprints in flight when the target crashed, empty when it did not crash
   */
  Collection<Long> onProbe(boolean answered, long now) {
    probing = false;
    nextProbeAt = now + (suspicious ? SETTLE_MILLIS : probeMillis);
    healthy = answered;
    if (!suspicious || (answered && now - suspiciousSince < SETTLE_MILLIS)) {
      return Set.of();
    }
    boolean crashed = !answered || undecided.isEmpty();
    final Collection<Long> marked = crashed ? Set.copyOf(suspected.values()) : Set.of();
    if (crashed) {
      counted.addAll(undecided);
    }
    suspicious = false;
    suspected.clear();
    undecided.clear();
    return marked;
  }

  /**
   * Returns whether the target answered the last probe.
   *
   * @return true when it did and has refused no connection since
   */
  boolean healthy() {
    return healthy;
  }

  /**
   * Returns whether requests may be started and granted.
   *
   * @return true when the target answers and no crash is suspected
   */
  boolean usable() {
    return healthy && !suspicious;
  }
}
