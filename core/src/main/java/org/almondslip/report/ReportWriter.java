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
 * Writes what a router tells the others about its load and its service.
 *
 * <p>Reports go by datagram, so each one stays within a frame of the network, and a lost one must
 * cost nothing for long: service is told in totals since the start of the router, and changes are
 * told several times.
 */
public final class ReportWriter {

  /** Reports that tell a change, since each one may be lost. */
  private static final int REPEATS = 3;

  /** Largest number of prompts between two reports that are told; they only save reading twice. */
  private static final int MAX_PROMPTS = 200;

  /** Name of the router. */
  private final String name;

  /** Start of the router. */
  private final long incarnation;

  /** Targets and queues of the router. */
  private final Dispatcher dispatcher;

  /** Prompts sent since the last report. */
  private final List<SentPrompt> prompts = new ArrayList<>();

  /** Crashes to report, with the number of reports that still name them. */
  private final Map<SuspectNotice, Integer> crashes = new HashMap<>();

  /** Targets that had work lately, with the number of reports that still name them. */
  private final Map<Long, Integer> busyTargets = new HashMap<>();

  /** Totals that were told last. */
  private final Map<DispatchStatistics.Owner, Told> told = new LinkedHashMap<>();

  /** Totals that were told. */
  private static final class Told {
    /** Tokens of all requests. */
    private long asked;

    /** Tokens of the requests that were sent to a target. */
    private long given;

    /** Number of reports that still tell them. */
    private int left;
  }

  /**
   * Creates a writer.
   *
   * @param name the name of the router
   * @param incarnation the start of the router, different for each start
   * @param dispatcher the targets and queues of the router
   */
  public ReportWriter(String name, long incarnation, Dispatcher dispatcher) {
    this.name = name;
    this.incarnation = incarnation;
    this.dispatcher = dispatcher;
  }

  /**
   * Notes a send.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  public void onSent(TargetLoad target, Prompt prompt) {
    if (prompt.segments().isEmpty() || prompts.size() >= MAX_PROMPTS) {
      return;
    }
    SentPrompt.Builder sent = SentPrompt.newBuilder().setTarget(target.incarnationKey());
    for (Prompt.Segment part : prompt.segments()) {
      sent.addParts(part.id()).addTokens(part.tokens());
    }
    prompts.add(sent.build());
  }

  /**
   * Notes that a target broke its connection while it ran a request.
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
   * Writes the next reports.
   *
   * @return the reports, empty when there is nothing to tell
   */
  public List<LoadReport> next() {
    ReportPacker packer = new ReportPacker(name, incarnation);
    addTotals(packer);
    addTargets(packer);
    crashes.keySet().forEach(packer::add);
    crashes.replaceAll((notice, left) -> left - 1);
    crashes.values().removeIf(left -> left <= 0);
    prompts.forEach(packer::add);
    prompts.clear();
    return packer.reports();
  }

  /**
   * Adds the totals that changed lately.
   *
   * @param packer the receiver
   */
  private void addTotals(ReportPacker packer) {
    dispatcher
        .statistics()
        .counts()
        .forEach(
            (owner, counts) -> {
              Told last = told.computeIfAbsent(owner, key -> new Told());
              if (last.asked != counts.requestedTokens() || last.given != counts.sentTokens()) {
                last.asked = counts.requestedTokens();
                last.given = counts.sentTokens();
                last.left = REPEATS;
              }
              if (last.left > 0) {
                last.left--;
                packer.add(
                    ServiceTotal.newBuilder()
                        .setService(owner.service())
                        .setOrganisation(owner.organisation())
                        .setAsked(last.asked)
                        .setGiven(last.given)
                        .build());
              }
            });
  }

  /**
   * Adds the work at targets, and for some time that a target has none left.
   *
   * @param packer the receiver
   */
  private void addTargets(ReportPacker packer) {
    for (TargetLoad target : dispatcher.targets()) {
      if (target.ownRequests() > 0) {
        busyTargets.put(target.incarnationKey(), REPEATS);
        packer.add(
            TargetReport.newBuilder()
                .setTarget(target.incarnationKey())
                .setUnreadTokens((int) target.ownPendingPrefillTokens())
                .setRequests(target.ownRequests())
                .build());
      } else if (busyTargets.containsKey(target.incarnationKey())) {
        busyTargets.computeIfPresent(
            target.incarnationKey(), (key, left) -> left > 1 ? left - 1 : null);
        packer.add(TargetReport.newBuilder().setTarget(target.incarnationKey()).build());
      }
    }
  }
}
