package org.almondslip.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.WaitingRange;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.Charge;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.protocol.wire.Waiting;
import org.almondslip.quarantine.CrashWindow;
import org.almondslip.time.Clock;

/** Takes what other routers tell about their load and their service. */
public final class ReportReader {

  /** Targets and queues of this router. */
  private final Dispatcher dispatcher;

  /** Requests that crash targets. */
  private final CrashWindow crashes;

  /** Source of time. */
  private final Clock clock;

  /**
   * Creates a reader.
   *
   * @param dispatcher the targets and queues of this router
   * @param crashes the requests that crash targets
   * @param clock the source of time
   */
  public ReportReader(Dispatcher dispatcher, CrashWindow crashes, Clock clock) {
    this.dispatcher = dispatcher;
    this.crashes = crashes;
    this.clock = clock;
  }

  /**
   * Takes a report.
   *
   * @param report the report
   */
  public void read(LoadReport report) {
    Map<Long, TargetLoad> targets = new HashMap<>();
    dispatcher.targets().forEach(target -> targets.put(target.key(), target));
    long now = clock.millis();
    Map<Long, TargetReport> loads = new HashMap<>();
    report.getTargetsList().forEach(load -> loads.put(load.getTarget(), load));
    targets.forEach(
        (key, target) -> {
          TargetReport load = loads.getOrDefault(key, TargetReport.getDefaultInstance());
          target.onReport(report.getRouter(), load.getUnreadTokens(), load.getRequests(), now);
        });
    for (SuspectNotice notice : report.getSuspectsList()) {
      crashes.onCrash(notice.getFingerprint(), notice.getCrashId().hashCode());
    }
    for (Charge charge : report.getChargesList()) {
      dispatcher.chargeRemote(charge.getService(), charge.getOrganisation(), charge.getTokens());
    }
    for (Waiting waiting : report.getWaitingList()) {
      dispatcher.onPeerWaiting(
          report.getRouter(),
          waiting.getService(),
          new WaitingRange(waiting.getLeast(), waiting.getMost()));
    }
    for (SentPrompt sent : report.getPromptsList()) {
      TargetLoad target = targets.get(sent.getTarget());
      if (target != null && sent.getPartsCount() == sent.getTokensCount()) {
        target.onPeerSent(prompt(sent));
      }
    }
  }

  /**
   * Decodes a prompt.
   *
   * @param sent the prompt of a report
   * @return the prompt
   */
  private static Prompt prompt(SentPrompt sent) {
    List<Prompt.Part> parts = new ArrayList<>();
    int total = 0;
    for (int i = 0; i < sent.getPartsCount(); i++) {
      parts.add(new Prompt.Part(sent.getParts(i), sent.getTokens(i)));
      total += sent.getTokens(i);
    }
    return new Prompt(parts, total, 0);
  }
}
