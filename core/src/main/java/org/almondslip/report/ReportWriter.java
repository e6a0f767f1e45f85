package org.almondslip.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.dispatch.DispatchStatistics;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;

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

  /**
   * Maximum number of prompts per call of {@link #next()}. Omitting further ones is safe, since
   * prompts only help other routers to avoid processing the same prompt segments at several
   * targets.
   */
  private static final int MAX_PROMPTS = 200;

  private final String routerName;

  private final long incarnation;

  private final Dispatcher dispatcher;

  /** Prompts sent to targets since the last report. */
  private final List<SentPrompt> prompts = new ArrayList<>();

  /** Crashes to report, with the number of remaining reports that include them. */
  private final Map<SuspectNotice, Integer> crashes = new HashMap<>();

  /** Targets that recently had load, with the number of remaining reports that include them. */
  private final Map<Long, Integer> activeTargets = new HashMap<>();

  /** Totals in the last report that included them. */
  private final Map<DispatchStatistics.Owner, ReportedTotals> reportedTotals =
      new LinkedHashMap<>();

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
   */
  public ReportWriter(String routerName, long incarnation, Dispatcher dispatcher) {
    this.routerName = routerName;
    this.incarnation = incarnation;
    this.dispatcher = dispatcher;
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
   * Adds the load of the targets. A target whose load has ended is included in {@link #REPEATS}
   * further reports.
   */
  private void addTargets(ReportPacker packer) {
    for (TargetLoad target : dispatcher.targets()) {
      if (target.ownRequests() > 0) {
        activeTargets.put(target.incarnationKey(), REPEATS);
        packer.add(
            TargetReport.newBuilder()
                .setTarget(target.incarnationKey())
                .setUnreadTokens((int) target.ownPendingPrefillTokens())
                .setRequests(target.ownRequests())
                .build());
      } else if (activeTargets.containsKey(target.incarnationKey())) {
        activeTargets.computeIfPresent(
            target.incarnationKey(), (key, remaining) -> remaining > 1 ? remaining - 1 : null);
        packer.add(TargetReport.newBuilder().setTarget(target.incarnationKey()).build());
      }
    }
  }
}
