package org.almondslip.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.dispatch.DispatchStatistics;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.pace.PaceStatus;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.PromptCrash;
import org.almondslip.protocol.wire.SegmentReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.CrashedPrompt;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.quarantine.SegmentStatus;
import org.almondslip.time.Clock;

/** Applies the load and service reports of other routers to the state of this router. */
public final class ReportReader {

  /**
   * Maximum number of tokens of a prompt and of the pending prefill of a target. Larger numbers are
   * not plausible, and their sums would overflow.
   */
  private static final int MAX_TOKENS = 100_000_000;

  /** Maximum number of quarantines of a segment. */
  private static final int MAX_QUARANTINES = 10_000;

  /** Maximum number of shared segments of a prompt. */
  private static final int MAX_SEGMENTS = 200;

  /** Maximum age of a crashed request in milliseconds, above the timeout of any route. */
  private static final int MAX_AGE_MILLIS = 3_600_000;

  /** Maximum number of running requests that a router reports for one target. */
  private static final int MAX_REQUESTS = 100_000;

  /** Maximum number of decreases of a window, which a target that decreases it for days reaches. */
  private static final int MAX_DECREASES = 1_000_000;

  private final Dispatcher dispatcher;

  private final CrashQuarantine quarantine;

  private final SegmentQuarantine segmentQuarantine;

  private final Clock clock;

  /** Totals of the other routers by router name. */
  private final Map<String, PeerTotals> peers = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param dispatcher the dispatcher of this router, which receives load and service
   * @param quarantine the quarantine of this router, which receives crashes
   * @param segmentQuarantine the quarantine of prompt segments, which receives crashes and statuses
   * @param clock the source of time
   */
  public ReportReader(
      Dispatcher dispatcher,
      CrashQuarantine quarantine,
      SegmentQuarantine segmentQuarantine,
      Clock clock) {
    this.dispatcher = dispatcher;
    this.quarantine = quarantine;
    this.segmentQuarantine = segmentQuarantine;
    this.clock = clock;
  }

  /**
   * Applies a report. Entries about unknown targets, malformed prompts and numbers that are not
   * plausible are ignored: reports are not authenticated.
   *
   * @param report the report
   */
  public void read(LoadReport report) {
    long now = clock.millis();
    for (TargetReport load : report.getTargetsList()) {
      if (isWithin(load.getUnreadTokens(), MAX_TOKENS)
          && isWithin(load.getRequests(), MAX_REQUESTS)) {
        dispatcher
            .target(load.getTarget())
            .ifPresent(
                target -> {
                  target.onPeerReport(
                      report.getRouter(), load.getUnreadTokens(), load.getRequests(), now);
                  target
                      .speed()
                      .onPeerReport(
                          report.getRouter(),
                          load.getSpeedPermille(),
                          load.getSpeedSamples(),
                          load.getWorkPercent(),
                          load.getWorkAgeMillis(),
                          now);
                });
        readHeldTokens(report.getRouter(), load, now);
      }
      readPace(report.getRouter(), load, now);
    }
    for (SuspectNotice notice : report.getSuspectsList()) {
      quarantine.onCrash(notice.getFingerprint(), notice.getCrashId().hashCode());
    }
    readSegments(report, now);
    applyTotals(report, now);
    for (SentPrompt sent : report.getPromptsList()) {
      if (isPlausible(sent)) {
        dispatcher
            .target(sent.getTarget())
            .ifPresent(target -> applyPrompt(target, decodePrompt(sent), report));
      }
    }
  }

  /** Applies what a report says about the pace of a target. */
  private void readPace(String router, TargetReport report, long now) {
    if (isWithin(report.getColdMillis(), Integer.MAX_VALUE)
        && isWithin(report.getWindow(), MAX_REQUESTS)
        && isWithin(report.getWindowDecreases(), MAX_DECREASES)) {
      PaceStatus status =
          new PaceStatus(report.getColdMillis(), report.getWindow(), report.getWindowDecreases());
      dispatcher
          .target(report.getTarget())
          .ifPresent(target -> target.pace().onPeerReport(router, status, now));
    }
  }

  /**
   * Reads the tokens that requests of a router hold at a target. The field is absent when it has
   * not changed, and when the router has no request there.
   */
  private void readHeldTokens(String router, TargetReport load, long now) {
    int tokens = load.getHeldTokens();
    if (isWithin(tokens, MAX_TOKENS) && (tokens > 0 || load.getRequests() == 0)) {
      dispatcher
          .target(load.getTarget())
          .ifPresent(target -> target.heldTokens().onPeerReport(router, tokens, now));
    }
  }

  private static void applyPrompt(TargetLoad target, Prompt prompt, LoadReport report) {
    if (!report.getCacheSnapshot()) {
      // A snapshot contains prompts of the last minutes, which are no current work.
      target.speed().onPeerSent(target.uncachedTokens(prompt));
    }
    target.onPeerSent(prompt);
  }

  private void readSegments(LoadReport report, long now) {
    for (PromptCrash crash : report.getCrashesList()) {
      if (isWithin(crash.getAgeMillis(), MAX_AGE_MILLIS)
          && isWithin(crash.getSegmentsCount(), MAX_SEGMENTS)) {
        segmentQuarantine.onCrash(
            new CrashedPrompt(
                crash.getSegmentsList(), crash.getTarget(), now - crash.getAgeMillis()));
      }
    }
    for (SegmentReport segment : report.getSegmentsList()) {
      if (isWithin(segment.getQuarantines(), MAX_QUARANTINES)
          && isWithin(segment.getEarlierAnswers(), Integer.MAX_VALUE)
          && isWithin(segment.getAnswers(), Integer.MAX_VALUE)
          && isWithin(segment.getRemainingMillis(), Integer.MAX_VALUE)) {
        segmentQuarantine.onPeerStatus(
            report.getRouter(),
            segment.getSegment(),
            new SegmentStatus(
                segment.getEarlierAnswers(),
                segment.getAnswers(),
                segment.getQuarantines(),
                segment.getReleased(),
                segment.getRemainingMillis()));
      }
    }
  }

  private void applyTotals(LoadReport report, long now) {
    PeerTotals peer = peers.computeIfAbsent(report.getRouter(), name -> new PeerTotals());
    peer.onReport(report.getIncarnation(), now);
    for (ServiceTotal total : report.getTotalsList()) {
      PeerTotals.Totals increase =
          peer.update(
              new DispatchStatistics.Owner(total.getService(), total.getOrganisation()),
              new PeerTotals.Totals(total.getAsked(), total.getGiven()),
              now);
      dispatcher.onPeerUsage(
          total.getService(),
          total.getOrganisation(),
          increase.requestedTokens(),
          increase.sentTokens());
    }
  }

  /** Returns whether each segment has a plausible number of tokens, and the whole prompt too. */
  private static boolean isPlausible(SentPrompt sent) {
    return sent.getPartsCount() == sent.getTokensCount()
        && sent.getTokensList().stream().allMatch(tokens -> isWithin(tokens, MAX_TOKENS))
        && sent.getTokensList().stream().mapToLong(Integer::longValue).sum() <= MAX_TOKENS;
  }

  /** Returns whether an unsigned number of a report, which may appear negative, is in bounds. */
  private static boolean isWithin(int number, int max) {
    return number >= 0 && number <= max;
  }

  private static Prompt decodePrompt(SentPrompt sent) {
    List<Prompt.Segment> segments = new ArrayList<>();
    int promptTokens = 0;
    for (int i = 0; i < sent.getPartsCount(); i++) {
      segments.add(new Prompt.Segment(sent.getParts(i), sent.getTokens(i)));
      promptTokens += sent.getTokens(i);
    }
    return new Prompt(segments, promptTokens, 0);
  }
}
