package org.almondslip.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.Job;
import org.almondslip.dispatch.TestJobs;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Cases of {@link ReportWriter} and {@link ReportReader}. */
class ReportWriterTest {

  /** Tokens of a job. */
  private static final int TOKENS = 5_000;

  /** Source of time. */
  private final Clock.Manual clock = new Clock.Manual(1_000);

  /** Router that reports. */
  private final Dispatcher sender = dispatcher();

  /** Router that reads the reports. */
  private final Dispatcher receiver = dispatcher();

  /** Reader of the reports. */
  private final ReportReader reader = new ReportReader(receiver, new CrashQuarantine(clock), clock);

  /** Writer of the reports. */
  private ReportWriter writer = new ReportWriter("router-1", 1, sender);

  /** Guards against a report of a busy router that is larger than its receivers read. */
  @Test
  void busyReportIsSpreadOverDatagrams() {
    meet();
    for (int i = 0; i < 60; i++) {
      send("org-" + i % 20);
    }
    List<LoadReport> reports = writer.next();
    assertThat(reports).hasSizeGreaterThan(1);
    assertThat(reports).allMatch(report -> report.getSerializedSize() <= ReportPacker.MAX_BYTES);
    reports.forEach(reader::read);
    assertThat(receiver.servedTokens("s", "org-7")).isEqualTo(3 * cost());
    assertThat(receiver.targets().get(0).requests(clock.millis())).isEqualTo(60);
  }

  /** Guards against service that other routers never learn of since one report is lost. */
  @Test
  void lostReportLosesNoService() {
    meet();
    send("org");
    assertThat(writer.next()).isNotEmpty();
    report();
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(cost());
  }

  /** Guards against charging service again when a report is told or delivered twice. */
  @Test
  void repeatedReportChargesServiceOnce() {
    meet();
    send("org");
    for (int i = 0; i < 5; i++) {
      report();
    }
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(cost());
  }

  /** Guards against charging old service to organisations of a router that was just met. */
  @Test
  void firstReportsOnlySetWhereCountingStarts() {
    send("org");
    meet();
    assertThat(receiver.servedTokens("s", "org")).isZero();
    send("org");
    report();
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(cost());
  }

  /** Guards against missing the service of a router that starts its totals anew. */
  @Test
  void restartedRouterIsCountedFromItsStart() {
    meet();
    send("org");
    report();
    Dispatcher restarted = dispatcher();
    writer = new ReportWriter("router-1", 2, restarted);
    restarted.submit(job("org"));
    report();
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(2 * cost());
  }

  /** Guards against a target that seems busy after its last request has ended. */
  @Test
  void targetWithoutWorkIsReportedIdle() {
    TargetLoad target = sender.targets().get(0);
    final int tokens = target.onSent(job("org").prompt());
    report();
    target.onPrefilled(tokens);
    target.onEnded();
    writer.next();
    report();
    assertThat(receiver.targets().get(0).requests(clock.millis())).isZero();
  }

  /** Lets the receiver hear of the sender for the first time. */
  private void meet() {
    report();
    send("met");
    report();
    sender.targets().get(0).onEnded();
    clock.advance(PeerTotals.SETTLING_MILLIS);
    for (int i = 0; i < 5; i++) {
      report();
    }
  }

  /** Lets the receiver read the next reports. */
  private void report() {
    writer.next().forEach(reader::read);
  }

  /**
   * Sends a request at the router that reports.
   *
   * @param organisation the name of the organisation
   */
  private void send(String organisation) {
    Job job = job(organisation);
    sender.submit(job);
    writer.onSent(sender.targets().get(0), job.prompt());
  }

  /**
   * Creates a request.
   *
   * @param organisation the name of the organisation
   * @return the request
   */
  private Job job(String organisation) {
    return TestJobs.job(organisation, TOKENS, clock.millis());
  }

  /**
   * Returns the cost of a request.
   *
   * @return the tokens
   */
  private double cost() {
    Prompt prompt = job("org").prompt();
    return prompt.promptTokens() + 2.0 * prompt.expectedOutputTokens();
  }

  /**
   * Creates a router with one large target.
   *
   * @return the dispatcher
   */
  private Dispatcher dispatcher() {
    Dispatcher created =
        new Dispatcher(
            clock,
            new Placement("dc", EngineModel.DEFAULT),
            EngineModel.DEFAULT,
            new DispatchLimits(1_000_000, 1, 512, 2_000, 500));
    created.add(
        new TargetLoad(
            new TargetRecord("t", "s", "127.0.0.1", 80, "dc", 640, TargetRecord.State.READY, 0, 1),
            1_000_000));
    return created;
  }
}
