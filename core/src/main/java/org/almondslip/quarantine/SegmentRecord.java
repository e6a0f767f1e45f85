package org.almondslip.quarantine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Crashes, answers and quarantine of one segment. */
final class SegmentRecord {

  /** Latest crashes that count, the oldest first. */
  private final Deque<Crash> crashes = new ArrayDeque<>();

  /** Answers that other routers reported since the last quarantine or release, by router name. */
  private final Map<String, Long> peerAnswers = new HashMap<>();

  /** Answers at this router since the last quarantine or release. */
  private long ownAnswers;

  /** Number of quarantines so far. */
  private int quarantines;

  /** Whether the last quarantine ended since requests were answered. */
  private boolean released;

  private long quarantinedAt;

  private long quarantinedUntil;

  /** Time until which the outcome of a probe is awaited, in milliseconds. */
  private long probedUntil = Long.MIN_VALUE;

  /** Time of the last change that keeps the record, in milliseconds. */
  private long changedAt;

  /**
   * Crash of a target that ran a request with the segment.
   *
   * @param target the incarnation of the target
   * @param at the time at which it became known, in milliseconds
   * @param answers the number of answers until then
   */
  private record Crash(long target, long at, long answers) {}

  /**
   * Records a crash. It counts only if the request made progress after the previous crash became
   * known: targets that fail at the same time have a common cause outside the requests.
   */
  void onCrash(long target, long progressAt, long now) {
    boolean known = crashes.stream().anyMatch(crash -> crash.target() == target);
    if (known || !crashes.isEmpty() && progressAt < crashes.peekLast().at()) {
      return;
    }
    crashes.addLast(new Crash(target, now, answers()));
    if (crashes.size() > SegmentQuarantine.CRASH_THRESHOLD) {
      crashes.removeFirst();
    }
    changedAt = now;
  }

  void onAnswer() {
    ownAnswers++;
  }

  /** Records the answers of another router, unless they belong to an earlier quarantine. */
  void onPeerAnswers(String router, SegmentStatus status, long now) {
    if (status.version() == status(now).version()) {
      peerAnswers.merge(router, status.answers(), Math::max);
    }
  }

  /** Returns the number of answers at all routers since the last quarantine or release. */
  private long answers() {
    return ownAnswers + peerAnswers.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of answers since the oldest crash that counts. */
  long answersBetweenCrashes() {
    return crashes.isEmpty() ? 0 : answers() - crashes.peekFirst().answers();
  }

  /** Returns whether enough targets crashed in a row, with hardly an answer in between. */
  boolean isSuspect() {
    return crashes.size() >= SegmentQuarantine.CRASH_THRESHOLD
        && answersBetweenCrashes() < SegmentQuarantine.ACQUITTING_ANSWERS;
  }

  Set<Long> crashedTargets() {
    return crashes.stream().map(Crash::target).collect(Collectors.toSet());
  }

  /** Removes crashes that another segment explains. */
  void removeCrashes(Set<Long> targets) {
    crashes.removeIf(crash -> targets.contains(crash.target()));
  }

  /** Starts the quarantine with a number, for a time in milliseconds. */
  void quarantine(int number, long millis, long now) {
    quarantines = number;
    released = false;
    quarantinedAt = now;
    quarantinedUntil = now + millis;
    probedUntil = Long.MIN_VALUE;
    reset(now);
  }

  /** Ends the quarantine with a number, since requests were answered. */
  void release(int number, long now) {
    quarantines = number;
    released = true;
    reset(now);
  }

  /** Forgets the crashes and answers before a quarantine or release. */
  private void reset(long now) {
    crashes.clear();
    ownAnswers = 0;
    peerAnswers.clear();
    changedAt = now;
  }

  /** Returns whether requests with the segment are refused or probed one at a time. */
  boolean isRestricted() {
    return quarantines > 0 && !released;
  }

  /** Returns whether a probe, or several requests sent before the quarantine, were answered. */
  boolean isAcquitted() {
    boolean probed = probedUntil > Long.MIN_VALUE;
    return isRestricted() && answers() >= (probed ? 1 : SegmentQuarantine.ACQUITTING_ANSWERS);
  }

  int quarantines() {
    return quarantines;
  }

  long quarantinedAt() {
    return quarantinedAt;
  }

  /** Records that a probe was sent, whose outcome is awaited for a time in milliseconds. */
  void onProbe(long millis, long now) {
    probedUntil = now + millis;
  }

  /**
   * Returns how long requests with the segment are still refused.
   *
   * @param delayMillis the delay of the first probe of this router, in milliseconds
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 if a request may be sent
   */
  long blockedMillis(long delayMillis, long now) {
    if (!isRestricted()) {
      return 0;
    }
    return Math.max(0, Math.max(quarantinedUntil + delayMillis, probedUntil) - now);
  }

  /** Returns the latest time until which the record is of use, in milliseconds. */
  long usefulUntil() {
    return Math.max(changedAt, quarantinedUntil)
        + (isRestricted() ? SegmentQuarantine.RETENTION_MILLIS : SegmentQuarantine.EVIDENCE_MILLIS);
  }

  SegmentStatus status(long now) {
    return new SegmentStatus(
        ownAnswers, quarantines, released, Math.max(0, quarantinedUntil - now));
  }
}
