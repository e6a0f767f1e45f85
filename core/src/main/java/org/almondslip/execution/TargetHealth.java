package org.almondslip.execution;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Health of the target, which determines whether a reset connection indicates a crash.
 *
 * <p>A reset makes all calls in flight suspected. It counts as a crash if the target does not
 * answer the next probe, or if every call in flight was lost; the latter detects a target that
 * restarts between probes. A false positive costs one exclusive run, whereas a false negative may
 * crash another target, so ambiguous cases count as crashes.
 */
final class TargetHealth {

  /** Time to wait for all resets of one crash before the suspicion is resolved, in milliseconds. */
  private static final long SETTLE_MILLIS = 50;

  /** Interval between probes, in milliseconds. */
  private final long probeMillis;

  /** Fingerprints of the calls in flight when the crash was first suspected, by token. */
  private final Map<Long, Long> suspected = new HashMap<>();

  /** Suspected calls that have not ended. */
  private final Set<Long> undecided = new HashSet<>();

  /** Calls in flight at a crash that has already been recorded. */
  private final Set<Long> attributed = new HashSet<>();

  /** Whether the target answered the last probe. */
  private boolean healthy;

  /** Whether a probe is in progress. */
  private boolean probing;

  /** Whether a crash is suspected. */
  private boolean suspicious;

  /** Time at which the crash was first suspected, in milliseconds. */
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
   * Records a reset of a call.
   *
   * @param token the call
   * @param inFlight the fingerprints of all calls in flight by token, this one included
   * @param now the current time, in milliseconds
   */
  void onReset(long token, Map<Long, Long> inFlight, long now) {
    if (attributed.contains(token)) {
      return;
    }
    if (!suspicious) {
      suspicious = true;
      suspiciousSince = now;
      nextProbeAt = now;
      suspected.putAll(inFlight);
      undecided.addAll(inFlight.keySet());
      attributed.forEach(suspected::remove);
      undecided.removeAll(attributed);
    }
  }

  /**
   * Records the end of a call.
   *
   * @param token the call
   * @param complete whether its answer was complete
   */
  void onEnded(long token, boolean complete) {
    attributed.remove(token);
    undecided.remove(token);
    if (complete) {
      suspected.remove(token);
    }
  }

  /**
   * Records that the target refused a connection.
   *
   * @param now the current time, in milliseconds
   */
  void onUnreachable(long now) {
    healthy = false;
    nextProbeAt = now;
  }

  /**
   * Returns whether a probe is due and, if so, marks it as in progress.
   *
   * @param now the current time, in milliseconds
   * @return true if the target has to be probed now
   */
  boolean startProbe(long now) {
    boolean due = !usable() && !probing && now >= nextProbeAt;
    probing |= due;
    return due;
  }

  /**
   * Handles the result of a probe.
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
      attributed.addAll(undecided);
    }
    suspicious = false;
    suspected.clear();
    undecided.clear();
    return marked;
  }

  /**
   * Returns whether the target answered the last probe.
   *
   * @return true if it did and has refused no connection since
   */
  boolean healthy() {
    return healthy;
  }

  /**
   * Returns whether requests may be started and granted.
   *
   * @return true if the target answers and no crash is suspected
   */
  boolean usable() {
    return healthy && !suspicious;
  }
}
