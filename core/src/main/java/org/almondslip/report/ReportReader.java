package org.almondslip.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.dispatch.DispatchStatistics;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Prompt;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.SentPrompt;
import org.almondslip.protocol.wire.ServiceTotal;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.time.Clock;

/** Takes what other routers tell about their load and their service. */
public final class ReportReader {

  /** Targets and queues of this router. */
  private final Dispatcher dispatcher;

  /** Requests that crash targets. */
  private final CrashQuarantine crashes;

  /** Source of time. */
  private final Clock clock;

  /** Totals of the other routers by their names. */
  private final Map<String, PeerTotals> peers = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param dispatcher the targets and queues of this router
   * @param crashes the requests that crash targets
   * @param clock the source of time
   */
  public ReportReader(Dispatcher dispatcher, CrashQuarantine crashes, Clock clock) {
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
    long now = clock.millis();
    for (TargetReport load : report.getTargetsList()) {
      dispatcher
          .target(load.getTarget())
          .ifPresent(
              target ->
                  target.onPeerReport(
                      report.getRouter(), load.getUnreadTokens(), load.getRequests(), now));
    }
    for (SuspectNotice notice : report.getSuspectsList()) {
      crashes.onCrash(notice.getFingerprint(), notice.getCrashId().hashCode());
    }
    readTotals(report, now);
    for (SentPrompt sent : report.getPromptsList()) {
      if (sent.getPartsCount() == sent.getTokensCount()) {
        dispatcher.target(sent.getTarget()).ifPresent(target -> target.onPeerSent(prompt(sent)));
      }
    }
  }

  /**
   * Takes the totals of a report.
   *
   * @param report the report
   * @param now the current time in milliseconds
   */
  private void readTotals(LoadReport report, long now) {
    PeerTotals peer = peers.computeIfAbsent(report.getRouter(), name -> new PeerTotals());
    peer.onReport(report.getIncarnation(), now);
    for (ServiceTotal total : report.getTotalsList()) {
      PeerTotals.Totals added =
          peer.take(
              new DispatchStatistics.Owner(total.getService(), total.getOrganisation()),
              new PeerTotals.Totals(total.getAsked(), total.getGiven()),
              now);
      dispatcher.onPeerUsage(
          total.getService(), total.getOrganisation(), added.asked(), added.given());
    }
  }

  /**
   * Decodes a prompt.
   *
   * @param sent the prompt of a report
   * @return the prompt
   */
  private static Prompt prompt(SentPrompt sent) {
    List<Prompt.Segment> parts = new ArrayList<>();
    int total = 0;
    for (int i = 0; i < sent.getPartsCount(); i++) {
      parts.add(new Prompt.Segment(sent.getParts(i), sent.getTokens(i)));
      total += sent.getTokens(i);
    }
    return new Prompt(parts, total, 0);
  }
}
