package org.almondslip.quarantine;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Crashes, answers and quarantine of one segment. */
final class SegmentRecord {

  /** Orders segments by the number of their answers, the fewest first. */
  static final Comparator<SegmentRecord> ANSWER_ORDER =
      Comparator.comparingLong(SegmentRecord::answersBetweenCrashes)
          .thenComparingLong(SegmentRecord::earlierAnswers);

  /**
   * Orders suspects, the most probable cause first: fewest answers, the last place in the prompt,
   * which belongs to the segment that is in the fewest requests, and most crashes.
   */
  static final Comparator<SegmentRecord> BLAME_ORDER =
      ANSWER_ORDER
          .thenComparing(record -> record.position, Comparator.reverseOrder())
          .thenComparing(record -> record.targets.size(), Comparator.reverseOrder());

  /** Maximum number of crashes that are kept, which covers the settling time at any rate. */
  private static final int MAX_CRASHES = 64;

  /** Maximum number of targets that are remembered, as many as a service may have. */
  private static final int MAX_TARGETS = 1_000;

  /** Latest crashes that count, the oldest first. */
  private final Deque<Crash> crashes = new ArrayDeque<>();

  /**
   * Targets that crashed while they ran requests with the segment, also those that do not count.
   */
  private final Set<Long> targets = new HashSet<>();

  /** Answers at this router before the segment was tracked, quarantined or released. */
  private long ownEarlierAnswers;

  /** The same answers as other routers reported them, by router name. */
  private final Map<String, Long> peerEarlierAnswers = new HashMap<>();

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

  /** Time of the first crash that led to the current suspicion or quarantine, in milliseconds. */
  private long suspectedAt;

  /** Place of the segment in the prompt of the latest crash. */
  private int position;

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
   * Creates a record of a segment without crashes.
   *
   * @param earlierAnswers the number of answers at this router so far
   */
  SegmentRecord(long earlierAnswers) {
    this.ownEarlierAnswers = earlierAnswers;
  }

  /**
   * Records a crash. It counts only if the request made progress after the previous crash became
   * known: targets that fail at the same time have a common cause outside the requests.
   */
  void onCrash(long target, long progressAt, int place, long now) {
    if (targets.size() < MAX_TARGETS) {
      targets.add(target);
    }
    boolean known = crashes.stream().anyMatch(crash -> crash.target() == target);
    if (known || !crashes.isEmpty() && progressAt < crashes.peekLast().at()) {
      return;
    }
    crashes.addLast(new Crash(target, now, answers()));
    if (crashes.size() > MAX_CRASHES) {
      crashes.removeFirst();
    }
    suspectedAt = firstInRow().map(Crash::at).orElse(now);
    position = place;
    changedAt = now;
  }

  /** Records an answer. A response that began before the crashes says nothing about them. */
  void onAnswer(long startedAt) {
    if (startedAt >= suspectedAt) {
      ownAnswers++;
    }
  }

  /** Records the answers of another router, unless they belong to an earlier quarantine. */
  void onPeerAnswers(String router, SegmentStatus status, long now) {
    peerEarlierAnswers.merge(router, status.earlierAnswers(), Math::max);
    if (status.version() == status(now).version()) {
      peerAnswers.merge(router, status.answers(), Math::max);
    }
  }

  /** Returns the number of answers at all routers since the last quarantine or release. */
  private long answers() {
    return ownAnswers + sum(peerAnswers);
  }

  /** Returns the number of answers at all routers before the latest crashes. */
  long earlierAnswers() {
    long sinceTracked =
        lastCrashes(SegmentQuarantine.CRASH_THRESHOLD).findFirst().map(Crash::answers).orElse(0L);
    return ownEarlierAnswers + sum(peerEarlierAnswers) + sinceTracked;
  }

  private Stream<Crash> lastCrashes(int count) {
    return crashes.stream().skip(Math.max(0, crashes.size() - count));
  }

  private static long sum(Map<String, Long> answers) {
    return answers.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the first of the crashes in a row that decide on suspicion. */
  private Optional<Crash> firstInRow() {
    return lastCrashes(crashThreshold()).findFirst();
  }

  /** Returns the number of answers since the first of the crashes in a row. */
  long answersBetweenCrashes() {
    return firstInRow().map(first -> answers() - first.answers()).orElse(0L);
  }

  /**
   * Returns whether enough targets crashed in a row until a time, with hardly an answer in between.
   *
   * @param settledAt the time in milliseconds
   */
  boolean isSuspect(long settledAt) {
    return crashes.stream().filter(crash -> crash.at() <= settledAt).count() >= crashThreshold()
        && answersBetweenCrashes() < SegmentQuarantine.ACQUITTING_ANSWERS;
  }

  private int crashThreshold() {
    return earlierAnswers() < SegmentQuarantine.ACQUITTING_ANSWERS
        ? SegmentQuarantine.CRASH_THRESHOLD
        : SegmentQuarantine.ANSWERED_CRASH_THRESHOLD;
  }

  /** Returns a copy of the targets that crashed while they ran requests with the segment. */
  Set<Long> crashedTargets() {
    return new HashSet<>(targets);
  }

  /** Removes crashes that another segment explains. */
  void removeCrashes(Set<Long> others) {
    targets.removeAll(others);
    crashes.removeIf(crash -> others.contains(crash.target()));
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
    targets.clear();
    ownEarlierAnswers += ownAnswers;
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
        ownEarlierAnswers, ownAnswers, quarantines, released, Math.max(0, quarantinedUntil - now));
  }
}
