package org.almondslip.report;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.almondslip.protocol.wire.PromptCrash;
import org.almondslip.protocol.wire.SegmentReport;
import org.almondslip.quarantine.CrashedPrompt;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.quarantine.SegmentStatus;
import org.almondslip.time.Clock;

/**
 * Adds crashes and the status of suspected segments to the reports for a group of routers.
 *
 * <p>A change is included in several reports, since each may be lost. A quarantine is repeated
 * until it is released, so that routers that restart or miss all of these reports learn of it.
 */
final class SegmentReporter {

  /** Number of reports that include a change. */
  private static final int REPEATS = 3;

  /** Interval at which a quarantine is reported again, in milliseconds. */
  static final long REFRESH_MILLIS = 1_000;

  /** Maximum number of segments for each call of {@link #addTo}; the others follow later. */
  private static final int MAX_SEGMENTS = 50;

  private final Clock clock;

  private final SegmentQuarantine quarantine;

  /** Crashes to report, with the number of remaining reports that include them. */
  private final Map<CrashedPrompt, Integer> crashes = new HashMap<>();

  /** Reported segments by id. */
  private final Map<Long, Reported> segments = new HashMap<>();

  /** Status of a segment as last reported. */
  private static final class Reported {
    private long earlierAnswers;

    private long answers;

    private int quarantines;

    private boolean released;

    private int remainingReports;

    private long reportedAt;

    /** Returns whether a status has to be reported now. */
    private boolean isDue(SegmentStatus status, long now) {
      long rounded = rounded(status.answers());
      if (earlierAnswers != rounded(status.earlierAnswers())
          || answers != rounded
          || quarantines != status.quarantines()
          || released != status.released()) {
        earlierAnswers = rounded(status.earlierAnswers());
        answers = rounded;
        quarantines = status.quarantines();
        released = status.released();
        remainingReports = REPEATS;
      }
      boolean restricted = quarantines > 0 && !released;
      return remainingReports > 0 || restricted && now - reportedAt >= REFRESH_MILLIS;
    }

    private void onReported(long now) {
      remainingReports = Math.max(0, remainingReports - 1);
      reportedAt = now;
    }
  }

  SegmentReporter(Clock clock, SegmentQuarantine quarantine) {
    this.clock = clock;
    this.quarantine = quarantine;
  }

  void onCrash(CrashedPrompt crash) {
    crashes.put(crash, REPEATS);
  }

  /** Adds all entries that are due. */
  void addTo(ReportPacker packer) {
    long now = clock.millis();
    addCrashes(packer, now);
    Map<Long, SegmentStatus> statuses = quarantine.statuses();
    segments.keySet().retainAll(statuses.keySet());
    int added = 0;
    for (Map.Entry<Long, SegmentStatus> entry : statuses.entrySet()) {
      Reported reported = segments.computeIfAbsent(entry.getKey(), id -> new Reported());
      if (added < MAX_SEGMENTS && reported.isDue(entry.getValue(), now)) {
        packer.add(toReport(entry.getKey(), entry.getValue()));
        reported.onReported(now);
        added++;
      }
    }
  }

  private void addCrashes(ReportPacker packer, long now) {
    for (Iterator<Map.Entry<CrashedPrompt, Integer>> all = crashes.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<CrashedPrompt, Integer> entry = all.next();
      CrashedPrompt crash = entry.getKey();
      packer.add(
          PromptCrash.newBuilder()
              .setTarget(crash.target())
              .addAllSegments(crash.segments())
              .setAgeMillis((int) Math.min(Integer.MAX_VALUE, now - crash.progressAt()))
              .build());
      if (entry.setValue(entry.getValue() - 1) <= 1) {
        all.remove();
      }
    }
  }

  private static SegmentReport toReport(long segment, SegmentStatus status) {
    return SegmentReport.newBuilder()
        .setSegment(segment)
        .setEarlierAnswers((int) rounded(status.earlierAnswers()))
        .setAnswers((int) rounded(status.answers()))
        .setQuarantines(status.quarantines())
        .setReleased(status.released())
        .setRemainingMillis((int) status.remainingMillis())
        .build();
  }

  /**
   * Returns the number of answers, rounded down to a power of two, so that the answers of a segment
   * in high demand are not reported one by one.
   */
  private static long rounded(long answers) {
    return Long.highestOneBit(Math.min(answers, Integer.MAX_VALUE));
  }
}
