package org.almondslip.quarantine;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.almondslip.placement.Prompt;
import org.almondslip.time.Clock;

/**
 * Blocks requests whose prompt shares a segment that crashes targets.
 *
 * <p>A crash ends all requests of its target, so it blames all shared segments of the requests
 * whose responses it hit at the start. A segment is suspect when {@link #CRASH_THRESHOLD} targets
 * crashed one after the other with fewer than {@link #ACQUITTING_ANSWERS} answers in between, or
 * {@link #ANSWERED_CRASH_THRESHOLD} targets if the segment was answered before. {@link #tick}
 * quarantines the one that {@link CulpritSearch} finds, and takes the crashes that it explains from
 * all other segments.
 *
 * <p>After the quarantine, each router sends one request with the segment at a time until one is
 * answered, which releases the segment, or crashes its target, which doubles the quarantine. The
 * routers begin at different times, so that the first one usually decides for all.
 */
public final class SegmentQuarantine {

  /** Number of targets that must crash one after the other. */
  public static final int CRASH_THRESHOLD = 3;

  /**
   * Number of targets that must crash one after the other if the segment was answered before the
   * first crash. Sound segments share prompts and targets with a crashing one, so that they are in
   * as many crashes; this one has to reach its own threshold first.
   */
  public static final int ANSWERED_CRASH_THRESHOLD = 5;

  /**
   * Time after which all reports on a crash have arrived, in milliseconds. It covers the repeated
   * reports between regions.
   */
  public static final long SETTLING_MILLIS = 600;

  /**
   * Number of answers that acquit a segment. Answers may still arrive of requests that were sent
   * before the segment began to crash targets.
   */
  static final int ACQUITTING_ANSWERS = 3;

  /** Duration of the first quarantine in milliseconds. */
  public static final long QUARANTINE_MILLIS = 30_000;

  /** Maximum number of times that the duration is doubled. */
  static final int MAX_DOUBLINGS = 3;

  /** Period over which the first probes of the routers are spread, in milliseconds. */
  static final long PROBE_SPREAD_MILLIS = 10_000;

  /** Time for which the outcome of a probe is awaited, in milliseconds. */
  static final long PROBE_MILLIS = 5_000;

  /**
   * Time after which all routers know of a quarantine, in milliseconds. A crash of a request whose
   * last progress was earlier does not extend the quarantine.
   */
  static final long PROPAGATION_MILLIS = 5_000;

  /** Time for which a crash counts, in milliseconds. */
  static final long EVIDENCE_MILLIS = 60_000;

  /** Time for which a quarantine that was not released is remembered, in milliseconds. */
  static final long RETENTION_MILLIS = 300_000;

  /** Maximum number of tracked segments; the oldest one without quarantine is evicted first. */
  static final int MAX_SEGMENTS = 1_000;

  /** Maximum number of segments whose answers are counted; the least recently used is evicted. */
  private static final int MAX_ANSWERED_SEGMENTS = 4_000;

  /** Maximum number of remembered targets whose crash is explained; the oldest is evicted first. */
  private static final int MAX_EXPLAINED_TARGETS = 1_000;

  private final Clock clock;

  private final String routerName;

  private final Listener listener;

  /** Tracked segments in the order of their first crash. */
  private final Map<Long, SegmentRecord> records = new LinkedHashMap<>();

  /** Segments that are quarantined or probed, which are checked for each request. */
  private final Map<Long, SegmentRecord> restricted = new HashMap<>();

  /** Number of answers at this router by segment. */
  private final Map<Long, Long> answered =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_ANSWERED_SEGMENTS;
        }
      };

  /**
   * Targets whose crash a quarantined segment explains. Further reports on these crashes name sound
   * requests, or repeat what is known.
   */
  private final Set<Long> explained =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
              return size() > MAX_EXPLAINED_TARGETS;
            }
          });

  /** Time until which suspects are checked, in milliseconds. */
  private long checkedUntil = Long.MIN_VALUE;

  /** Receives changes of quarantines. */
  public interface Listener {

    /**
     * Called when a quarantine of a segment starts or is extended.
     *
     * @param segment the id of the segment
     * @param number the number of quarantines of the segment so far
     * @param millis the duration in milliseconds
     * @param cause what led to it, for logs
     */
    void onQuarantined(long segment, int number, long millis, String cause);

    /**
     * Called when a segment is released since requests with it were answered.
     *
     * @param segment the id of the segment
     */
    void onReleased(long segment);

    /** Listener that ignores all changes. */
    enum NoOp implements Listener {
      INSTANCE;

      @Override
      public void onQuarantined(long segment, int number, long millis, String cause) {}

      @Override
      public void onReleased(long segment) {}
    }
  }

  /**
   * Creates a quarantine without tracked segments.
   *
   * @param clock the source of time
   * @param routerName the name of this router
   * @param listener the listener to notify of changes
   */
  public SegmentQuarantine(Clock clock, String routerName, Listener listener) {
    this.clock = clock;
    this.routerName = routerName;
    this.listener = listener;
  }

  /**
   * Records that a request of this or another router was lost with its target at the start of the
   * response.
   *
   * @param crash the prompt of the request
   */
  public void onCrash(CrashedPrompt crash) {
    for (long segment : crash.segments()) {
      SegmentRecord record = restricted.get(segment);
      if (record != null) {
        explain(Set.of(crash.target()));
        if (crash.progressAt() >= record.quarantinedAt() + PROPAGATION_MILLIS) {
          quarantine(segment, record.quarantines() + 1, "a probe crashed its target");
        }
      }
    }
    if (explained.contains(crash.target())) {
      return;
    }
    long now = clock.millis();
    for (int i = 0; i < crash.segments().size(); i++) {
      track(crash.segments().get(i)).onCrash(crash.target(), crash.progressAt(), i, now);
    }
    checkedUntil = now + 3 * SETTLING_MILLIS;
  }

  /** Quarantines segments whose crashes are known in full; to be called periodically. */
  public void tick() {
    if (clock.millis() >= checkedUntil) {
      return;
    }
    for (Optional<Long> culprit = findCulprit(); culprit.isPresent(); culprit = findCulprit()) {
      SegmentRecord record = records.get(culprit.get());
      String cause =
          String.format(
              "it crashed targets %s; %d answers before",
              record.crashedTargets(), record.earlierAnswers());
      quarantine(culprit.get(), record.quarantines() + 1, cause);
    }
  }

  /** Returns the segment to be quarantined, empty if the evidence does not suffice. */
  private Optional<Long> findCulprit() {
    return new CulpritSearch(records, restricted.keySet(), clock.millis()).find();
  }

  /**
   * Records that a request of this router was answered.
   *
   * @param prompt the prompt of the request
   * @param startedAt the time at which the response began, in milliseconds
   */
  public void onAnswer(Prompt prompt, long startedAt) {
    for (Prompt.Segment segment : prompt.sharedSegments()) {
      answered.merge(segment.id(), 1L, Long::sum);
      SegmentRecord record = records.get(segment.id());
      if (record != null) {
        record.onAnswer(startedAt);
        releaseIfAcquitted(segment.id(), record);
      }
    }
  }

  /**
   * Records that a request is sent to a target. If it contains a segment whose quarantine has
   * ended, it is the probe of this router.
   *
   * @param prompt the prompt of the request
   */
  public void onSent(Prompt prompt) {
    if (restricted.isEmpty()) {
      return;
    }
    for (Prompt.Segment segment : prompt.sharedSegments()) {
      SegmentRecord record = restricted.get(segment.id());
      if (record != null) {
        record.onProbe(PROBE_MILLIS, clock.millis());
      }
    }
  }

  /**
   * Returns how long a request must not be sent.
   *
   * @param prompt the prompt of the request
   * @return the time in milliseconds, empty if the request may be sent now
   */
  public OptionalLong blockedMillis(Prompt prompt) {
    if (restricted.isEmpty()) {
      return OptionalLong.empty();
    }
    long now = clock.millis();
    long longest = 0;
    // A loop, since waiting requests are checked every few milliseconds during a quarantine.
    for (Prompt.Segment segment : prompt.sharedSegments()) {
      SegmentRecord record = restricted.get(segment.id());
      if (record != null) {
        longest = Math.max(longest, record.blockedMillis(probeDelay(segment.id()), now));
      }
    }
    return longest > 0 ? OptionalLong.of(longest) : OptionalLong.empty();
  }

  /**
   * Applies the status of a segment at another router. Of two statuses the one with more
   * quarantines and releases is newer; an equal one changes nothing, so that delayed reports do not
   * extend a quarantine.
   *
   * @param router the name of the other router
   * @param segment the id of the segment
   * @param status the status
   */
  public void onPeerStatus(String router, long segment, SegmentStatus status) {
    SegmentRecord known = records.get(segment);
    int version = known == null ? 0 : known.status(clock.millis()).version();
    if (status.quarantines() > 0 && status.version() > version) {
      if (status.released()) {
        release(segment, status.quarantines());
      } else {
        long millis = Math.min(status.remainingMillis(), duration(status.quarantines()));
        start(segment, status.quarantines(), millis, "reported by router " + router);
      }
    }
    if (known != null) {
      known.onPeerAnswers(router, status, clock.millis());
      releaseIfAcquitted(segment, known);
    }
  }

  /**
   * Returns the status of each tracked segment, to be reported to other routers.
   *
   * @return the statuses by segment
   */
  public Map<Long, SegmentStatus> statuses() {
    Map<Long, SegmentStatus> statuses = new LinkedHashMap<>();
    records.forEach((segment, record) -> statuses.put(segment, record.status(clock.millis())));
    return statuses;
  }

  /**
   * Returns the number of segments that are quarantined or probed.
   *
   * @return the number of segments
   */
  public int restrictedSegments() {
    return restricted.size();
  }

  /** Forgets segments that have not been suspected for a long time; to be called periodically. */
  public void prune() {
    long now = clock.millis();
    records.values().removeIf(record -> now >= record.usefulUntil());
    restricted.keySet().retainAll(records.keySet());
  }

  private void quarantine(long segment, int number, String cause) {
    start(segment, number, duration(number), cause);
  }

  /** Starts a quarantine and removes the crashes that it explains from the other segments. */
  private void start(long segment, int number, long millis, String cause) {
    SegmentRecord record = track(segment);
    explain(record.crashedTargets());
    record.quarantine(number, millis, clock.millis());
    restricted.put(segment, record);
    listener.onQuarantined(segment, number, millis, cause);
  }

  /** Removes the crashes of targets that a quarantined segment explains. */
  private void explain(Set<Long> targets) {
    explained.addAll(targets);
    records.values().forEach(record -> record.removeCrashes(targets));
  }

  private void releaseIfAcquitted(long segment, SegmentRecord record) {
    if (record.isAcquitted()) {
      release(segment, record.quarantines());
    }
  }

  private void release(long segment, int number) {
    track(segment).release(number, clock.millis());
    restricted.remove(segment);
    listener.onReleased(segment);
  }

  private SegmentRecord track(long segment) {
    SegmentRecord record =
        records.computeIfAbsent(segment, id -> new SegmentRecord(answered.getOrDefault(id, 0L)));
    if (records.size() > MAX_SEGMENTS) {
      evictOldest(segment);
    }
    return record;
  }

  /** Evicts the oldest segment without quarantine, or the oldest one if all have a quarantine. */
  private void evictOldest(long kept) {
    long oldest = records.keySet().iterator().next();
    for (Iterator<Long> all = records.keySet().iterator(); all.hasNext(); ) {
      long segment = all.next();
      if (segment != kept && !restricted.containsKey(segment)) {
        oldest = segment;
        break;
      }
    }
    records.remove(oldest);
    restricted.remove(oldest);
  }

  private static long duration(int number) {
    return QUARANTINE_MILLIS << Math.min(number - 1, MAX_DOUBLINGS);
  }

  /** Returns the delay of the first probe of this router after a quarantine, in milliseconds. */
  private long probeDelay(long segment) {
    int hash = 31 * routerName.hashCode() + Long.hashCode(segment);
    // The multiplier (the golden ratio) spreads the hashes of routers with similar names.
    return Integer.toUnsignedLong(hash * 0x9e3779b9) * PROBE_SPREAD_MILLIS >>> Integer.SIZE;
  }
}
