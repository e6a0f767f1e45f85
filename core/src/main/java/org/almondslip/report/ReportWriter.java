package org.almondslip.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.Charge;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.protocol.wire.Waiting;

/** Writes what a router tells the others about its load and its service. */
public final class ReportWriter {

  /** Reports that name a crash, since each one may be lost. */
  private static final int CRASH_REPORTS = 3;

  /** Largest number of prompts in a report, which keeps it within one datagram. */
  private static final int MAX_PROMPTS = 40;

  /** Name of the router. */
  private final String name;

  /** Targets and queues of the router. */
  private final Dispatcher dispatcher;

  /** Prompts sent since the last report. */
  private final List<SentPrompt> prompts = new ArrayList<>();

  /** Service given to organisations since the last report. */
  private final Map<Recipient, Long> charges = new HashMap<>();

  /** Crashes to report, with the number of reports that still name them. */
  private final Map<SuspectNotice, Integer> crashes = new HashMap<>();

  /** Whether the last report named a target. */
  private boolean reportedLoad;

  /**
   * Receiver of service.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   */
  private record Recipient(String service, String organisation) {}

  /**
   * Creates a writer.
   *
   * @param name the name of the router
   * @param dispatcher the targets and queues of the router
   */
  public ReportWriter(String name, Dispatcher dispatcher) {
    this.name = name;
    this.dispatcher = dispatcher;
    dispatcher.onCharge(
        (service, organisation, tokens) ->
            charges.merge(new Recipient(service, organisation), tokens, Long::sum));
  }

  /**
   * Notes a send.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  public void onSent(TargetLoad target, Prompt prompt) {
    if (prompt.parts().isEmpty() || prompts.size() >= MAX_PROMPTS) {
      return;
    }
    SentPrompt.Builder sent = SentPrompt.newBuilder().setTarget(target.key());
    for (Prompt.Part part : prompt.parts()) {
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
            .setCrashId(Long.toString(target.key()))
            .build(),
        CRASH_REPORTS);
  }

  /**
   * Writes the next report.
   *
   * @return the report, empty when there is nothing to tell
   */
  public Optional<LoadReport> next() {
    LoadReport.Builder report = LoadReport.newBuilder().setRouter(name).addAllPrompts(prompts);
    prompts.clear();
    charges.forEach(
        (recipient, tokens) ->
            report.addCharges(
                Charge.newBuilder()
                    .setService(recipient.service())
                    .setOrganisation(recipient.organisation())
                    .setTokens(tokens)));
    charges.clear();
    report.addAllSuspects(crashes.keySet());
    crashes.replaceAll((notice, left) -> left - 1);
    crashes.values().removeIf(left -> left <= 0);
    dispatcher
        .waitingRanges()
        .forEach(
            (service, range) ->
                report.addWaiting(
                    Waiting.newBuilder()
                        .setService(service)
                        .setLeast((long) range.least())
                        .setMost((long) range.most())));
    for (TargetLoad target : dispatcher.targets()) {
      if (target.ownRequests() > 0) {
        report.addTargets(
            TargetReport.newBuilder()
                .setTarget(target.key())
                .setUnreadTokens((int) target.ownUnreadTokens())
                .setRequests(target.ownRequests()));
      }
    }
    boolean load = report.getTargetsCount() > 0;
    if (!load && !reportedLoad && report.getWaitingCount() + report.getSuspectsCount() == 0) {
      return Optional.empty();
    }
    reportedLoad = load;
    return Optional.of(report.build());
  }
}
