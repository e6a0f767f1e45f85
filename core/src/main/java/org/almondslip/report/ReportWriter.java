package org.almondslip.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.dispatch.DispatchStatistics;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.pace.PaceStatus;
import org.almondslip.pace.ReportedPace;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.quarantine.CrashedPrompt;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.time.Clock;

/**
 * Creates the reports on load and service that a router sends to the other routers.
 *
 * <p>Reports are sent as datagrams, each of which fits into a network frame. To limit the effect of
 * a lost datagram, service is reported as cumulative totals since the start of the router, and each
 * change is reported several times.
 */
public final class ReportWriter {

  /** Number of reports that include a change, since each of them may be lost. */
  private static final int REPEATS = 3;

  /** Number of reports that include a change of a load, which is also refreshed periodically. */
  private static final int LOAD_REPEATS = 2;

  /**
   * Maximum number of prompts per call of {@link #next()}. Omitting further ones is safe, since
   * prompts only help other routers to avoid processing the same prompt segments at several
   * targets.
   */
  private static final int MAX_PROMPTS = 200;

  private final String routerName;

  private final long incarnation;

  private final Dispatcher dispatcher;

  private final Clock clock;

  /** Number of reports after which an unchanged load is included again. */
  private final int refreshReports;

  /** Prompts sent to targets since the last report. */
  private final List<SentPrompt> prompts = new ArrayList<>();

  /** Crashes to report, with the number of remaining reports that include them. */
  private final Map<SuspectNotice, Integer> crashes = new HashMap<>();

  private final SegmentReporter segments;

  private final SpeedReporter speeds = new SpeedReporter();

  /** Loads of the targets that recently had requests, by incarnation key, as last reported. */
  private final Map<Long, ReportedLoad> reportedLoads = new HashMap<>();

  /** Totals in the last report that included them. */
  private final Map<DispatchStatistics.Owner, ReportedTotals> reportedTotals =
      new LinkedHashMap<>();

  /** Load of a target as last reported. */
  private static final class ReportedLoad {
    private long pendingPrefillTokens;

    private int requests;

    private final ReportedPace pace = new ReportedPace();
    private final ReportedTokens heldTokens = new ReportedTokens(LOAD_REPEATS);

    /** Number of remaining reports that include this change. */
    private int remainingReports;

    /** Number of reports since the last one that included this load. */
    private int omittedReports;

    /**
     * Records the current load and returns whether the next report includes it. The tokens held are
     * 0 unless the memory of targets is bounded.
     */
    private boolean update(TargetLoad target, long held, int refreshReports, long now) {
      boolean paceChanged = pace.update(target.pace().status(now), now);
      if (paceChanged
          || pendingPrefillTokens != target.ownPendingPrefillTokens()
          || requests != target.ownRequests()) {
        pendingPrefillTokens = target.ownPendingPrefillTokens();
        requests = target.ownRequests();
        remainingReports = LOAD_REPEATS;
      }
      omittedReports++;
      heldTokens.update(held, refreshReports);
      if (remainingReports <= 0 && omittedReports < refreshReports && !heldTokens.isDue()) {
        return false;
      }
      remainingReports--;
      omittedReports = 0;
      return true;
    }

    private boolean isIdle() {
      return requests == 0 && remainingReports <= 0 && pace.last().equals(PaceStatus.NONE);
    }
  }

  /** Service totals of an organisation as last reported. */
  private static final class ReportedTotals {
    /** Tokens of all requests. */
    private long requestedTokens;

    /** Tokens of the requests that were sent to a target. */
    private long sentTokens;

    /** Number of remaining reports that include these totals. */
    private int remainingReports;
  }

  /**
   * Creates a writer.
   *
   * @param routerName the name of the router
   * @param incarnation the incarnation of the router, different after each restart
   * @param dispatcher the dispatcher whose load and service are reported
   * @param segmentQuarantine the quarantine whose segments are reported
   * @param clock the source of time
   * @param refreshReports the number of reports after which an unchanged load is included again;
   *     their time must be well below the time after which receivers ignore a load
   */
  public ReportWriter(
      String routerName,
      long incarnation,
      Dispatcher dispatcher,
      SegmentQuarantine segmentQuarantine,
      Clock clock,
      int refreshReports) {
    this.routerName = routerName;
    this.incarnation = incarnation;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.segments = new SegmentReporter(clock, segmentQuarantine);
    this.refreshReports = refreshReports;
  }

  /**
   * Records that a request was sent to a target.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  public void onSent(TargetLoad target, Prompt prompt) {
    if (prompt.segments().isEmpty() || prompts.size() >= MAX_PROMPTS) {
      return;
    }
    SentPrompt.Builder sent = SentPrompt.newBuilder().setTarget(target.incarnationKey());
    for (Prompt.Segment segment : prompt.segments()) {
      sent.addParts(segment.id()).addTokens(segment.tokens());
    }
    prompts.add(sent.build());
  }

  /**
   * Records that a target closed its connection while it executed a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param target the target
   */
  public void onCrash(long fingerprint, TargetLoad target) {
    crashes.put(
        SuspectNotice.newBuilder()
            .setFingerprint(fingerprint)
            .setCrashId(Long.toString(target.incarnationKey()))
            .build(),
        REPEATS);
  }

  /**
   * Records that a request was lost with its target at the start of the response.
   *
   * @param crash the prompt of the request
   */
  public void onCrash(CrashedPrompt crash) {
    segments.onCrash(crash);
  }

  /**
   * Creates the next reports.
   *
   * @return the reports, empty if there is nothing to report
   */
  public List<LoadReport> next() {
    ReportPacker packer = new ReportPacker(routerName, incarnation);
    addTotals(packer);
    addTargets(packer);
    crashes.keySet().forEach(packer::add);
    crashes.replaceAll((notice, remaining) -> remaining - 1);
    crashes.values().removeIf(remaining -> remaining <= 0);
    segments.addTo(packer);
    prompts.forEach(packer::add);
    prompts.clear();
    return packer.reports();
  }

  /** Adds the totals that changed within the last {@link #REPEATS} reports. */
  private void addTotals(ReportPacker packer) {
    dispatcher
        .statistics()
        .counts()
        .forEach(
            (owner, counts) -> {
              ReportedTotals last =
                  reportedTotals.computeIfAbsent(owner, key -> new ReportedTotals());
              if (last.requestedTokens != counts.requestedTokens()
                  || last.sentTokens != counts.sentTokens()) {
                last.requestedTokens = counts.requestedTokens();
                last.sentTokens = counts.sentTokens();
                last.remainingReports = REPEATS;
              }
              if (last.remainingReports > 0) {
                last.remainingReports--;
                packer.add(
                    ServiceTotal.newBuilder()
                        .setService(owner.service())
                        .setOrganisation(owner.organisation())
                        .setAsked(last.requestedTokens)
                        .setGiven(last.sentTokens)
                        .build());
              }
            });
  }

  /**
   * Adds the loads of the targets that changed recently or are due for a refresh. A load that has
   * ended is included a few times and then forgotten.
   */
  private void addTargets(ReportPacker packer) {
    long now = clock.millis();
    speeds.retain(key -> dispatcher.target(key).isPresent());
    for (TargetLoad target : dispatcher.targets()) {
      long key = target.incarnationKey();
      boolean speedDue = speeds.isDue(target, now);
      ReportedLoad load = reportedLoads.get(key);
      if (load == null
          && target.ownRequests() == 0
          && !speedDue
          && target.pace().status(now).equals(PaceStatus.NONE)) {
        continue;
      }
      if (load == null) {
        load = new ReportedLoad();
        reportedLoads.put(key, load);
      }
      long held = dispatcher.boundsTargetMemory() ? target.heldTokens().own() : 0;
      if (load.update(target, held, refreshReports, now) || speedDue) {
        TargetReport.Builder entry =
            TargetReport.newBuilder()
                .setTarget(key)
                .setUnreadTokens((int) Math.min(load.pendingPrefillTokens, Integer.MAX_VALUE))
                .setRequests(load.requests)
                .setColdMillis((int) load.pace.last().coldMillis())
                .setWindow(load.pace.last().window())
                .setWindowDecreases(load.pace.last().decreases())
                .setHeldTokens(load.heldTokens.take());
        speeds.addTo(entry, target, now);
        packer.add(entry.build());
      }
      if (load.isIdle()) {
        reportedLoads.remove(key);
      }
    }
  }
}
