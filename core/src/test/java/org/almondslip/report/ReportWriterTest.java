package org.almondslip.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.Job;
import org.almondslip.dispatch.TestJobs;
import org.almondslip.pace.FleetPace;
import org.almondslip.pace.PaceListener;
import org.almondslip.pace.PaceStatus;
import org.almondslip.pace.TargetPace;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.SpeedMeasurement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.placement.TargetStatus;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests {@link ReportWriter} together with {@link ReportReader}. */
class ReportWriterTest {

  /** Prompt tokens of each request. */
  private static final int TOKENS = 5_000;

  /** Number of reports after which an unchanged load is reported again. */
  private static final int REFRESH_REPORTS = 5;

  /** Interval of the reports in milliseconds. */
  private static final int REPORT_INTERVAL_MILLIS = 60;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  /** Dispatcher of the router that sends reports. */
  private final Dispatcher sender = createDispatcher();

  /** Dispatcher of the router that receives the reports. */
  private final Dispatcher receiver = createDispatcher();

  private final SegmentQuarantine segments =
      new SegmentQuarantine(clock, "router-1", SegmentQuarantine.Listener.NoOp.INSTANCE);

  private final ReportReader reader =
      new ReportReader(receiver, new CrashQuarantine(clock), segments, clock);

  private ReportWriter writer =
      new ReportWriter("router-1", 1, sender, segments, clock, REFRESH_REPORTS);

  /** The report of a busy router must not exceed the datagram size that receivers accept. */
  @Test
  void largeReportIsSplitIntoDatagrams() {
    establishBaseline();
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

  /** Guards against a router that learns late, or never, that a target without load is cold. */
  @Test
  void coldTargetIsInTheNextReportAndRefreshed() {
    final TargetPace received = paced(receiver);
    paced(sender).onHealth(8_000, clock.millis(), clock.millis());
    writer.next();
    for (int i = 0; i <= REFRESH_REPORTS; i++) {
      clock.advance(REPORT_INTERVAL_MILLIS);
      writer.next().forEach(reader::read);
    }
    assertThat(received.isCold(clock.millis())).isTrue();
    clock.advance(8_000);
    writer.next();
    writer.next();
    writer.next();
    assertThat(writer.next()).isEmpty();
  }

  /** Guards against a window that other routers do not follow. */
  @Test
  void windowOfRecoveredTargetIsReported() {
    final TargetPace received = paced(receiver);
    paced(sender).onEjected(clock.millis());
    writer.next().forEach(reader::read);
    assertThat(received.status(clock.millis())).isEqualTo(new PaceStatus(0, 8, 1));
  }

  /** Guards against numbers that no router sends and that would limit a target for good. */
  @Test
  void absurdPaceIsIgnored() {
    TargetPace target = paced(receiver);
    LoadReport.Builder report = LoadReport.newBuilder().setRouter("router-2").setIncarnation(1);
    report
        .addTargetsBuilder()
        .setTarget(receiver.targets().get(0).incarnationKey())
        .setColdMillis(-1)
        .setWindow(-1)
        .setWindowDecreases(-1);
    reader.read(report.build());
    assertThat(target.isCold(clock.millis())).isFalse();
    assertThat(target.hasRoom(60, 0, 64, clock.millis())).isTrue();
  }

  /** Replaces the targets of a router by one whose service needs a warm-up. */
  private TargetPace paced(Dispatcher dispatcher) {
    if (dispatcher.targets("paced").isEmpty()) {
      dispatcher.targets().forEach(old -> dispatcher.remove("s", old.record().id()));
      FleetPace fleet = new FleetPace("router-1", 1.5, 5, PaceListener.NoOp.INSTANCE);
      fleet.onRouters(Set.of("router-1"), 0);
      fleet.onTable(
          new RoutingTable(
              1,
              List.of(),
              List.of(new ServicePolicy("paced", 0, 8_000, 10, "/health")),
              Map.of(),
              false,
              new IngressLimits(8_192, 65_536, 3_000, 15_000)));
      TargetRecord record =
          new TargetRecord("p", "paced", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1);
      dispatcher.add(new TargetLoad(record, 0, fleet.create(record, false, clock.millis())));
    }
    return dispatcher.targets().get(0).pace();
  }

  /** Other routers must learn of all service even if a report is lost. */
  @Test
  void lostReportLosesNoService() {
    establishBaseline();
    send("org");
    assertThat(writer.next()).isNotEmpty();
    deliverReports();
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(cost());
  }

  /** Service must not be charged again when a report is repeated or delivered twice. */
  @Test
  void repeatedReportChargesServiceOnce() {
    establishBaseline();
    send("org");
    for (int i = 0; i < 5; i++) {
      deliverReports();
    }
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(cost());
  }

  /** The first reports of a router contain old service, which must not be charged. */
  @Test
  void firstReportsOnlySetBaseline() {
    send("org");
    establishBaseline();
    assertThat(receiver.servedTokens("s", "org")).isZero();
    send("org");
    deliverReports();
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(cost());
  }

  /** The service of a router must be charged even though its totals restart from zero. */
  @Test
  void restartedRouterIsCountedFromItsRestart() {
    establishBaseline();
    send("org");
    deliverReports();
    Dispatcher restarted = createDispatcher();
    writer = new ReportWriter("router-1", 2, restarted, segments, clock, REFRESH_REPORTS);
    restarted.submit(job("org"));
    deliverReports();
    assertThat(receiver.servedTokens("s", "org")).isEqualTo(2 * cost());
  }

  /** A target must not appear busy after its last request has ended. */
  @Test
  void targetWithoutRequestsIsReportedIdle() {
    TargetLoad target = sender.targets().get(0);
    final int tokens = target.onSent(job("org").prompt());
    deliverReports();
    target.onPrefilled(tokens);
    target.onEnded();
    writer.next();
    deliverReports();
    assertThat(receiver.targets().get(0).requests(clock.millis())).isZero();
  }

  /** Reports must not repeat loads that receivers know, nor let them expire at the receivers. */
  @Test
  void unchangedLoadIsOmittedAndRefreshed() {
    sender.targets().get(0).onSent(job("org").prompt());
    deliverReports();
    int included = 0;
    for (int report = 0; report < 100; report++) {
      clock.advance(REPORT_INTERVAL_MILLIS);
      List<LoadReport> reports = writer.next();
      included += reports.stream().mapToInt(LoadReport::getTargetsCount).sum();
      reports.forEach(reader::read);
      assertThat(receiver.targets().get(0).requests(clock.millis())).isEqualTo(1);
    }
    assertThat(included).isLessThanOrEqualTo(100 / REFRESH_REPORTS + 1);
  }

  /** Guards against loads in every report where the memory of targets is not bounded. */
  @Test
  void unchangedLoadIsOmittedWithoutBoundOnMemory() {
    Dispatcher unbounded =
        new Dispatcher(
            clock,
            new Placement("dc", EngineModel.DEFAULT),
            EngineModel.DEFAULT,
            DispatchLimits.DEFAULT);
    TargetLoad target =
        new TargetLoad(
            new TargetRecord("t", "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1),
            500_000);
    unbounded.add(target);
    target.onSent(new Prompt(List.of(), 1_000, 100));
    ReportWriter loads =
        new ReportWriter("router-1", 1, unbounded, segments, clock, REFRESH_REPORTS);
    int reported = 0;
    for (int i = 0; i < 2 * REFRESH_REPORTS; i++) {
      reported += loads.next().size();
    }
    // The change twice, and one refresh.
    assertThat(reported).isEqualTo(3);
  }

  /** Exchanges the first reports, so that the receiver has a baseline for the sender. */
  private void establishBaseline() {
    deliverReports();
    send("baseline");
    deliverReports();
    sender.targets().get(0).onEnded();
    clock.advance(PeerTotals.BASELINE_MILLIS);
    for (int i = 0; i < 5; i++) {
      deliverReports();
    }
  }

  /** Delivers the next reports to the receiver. */
  private void deliverReports() {
    writer.next().forEach(reader::read);
  }

  /**
   * Sends a request to the target of the reporting router.
   *
   * @param organisation the name of the organisation
   */
  private void send(String organisation) {
    Job job = job(organisation);
    sender.submit(job);
    writer.onSent(sender.targets().get(0), job.prompt());
  }

  private Job job(String organisation) {
    return TestJobs.job(organisation, TOKENS, clock.millis());
  }

  /** Guards against speeds in reports of services whose targets do not state their work. */
  @Test
  void speedIsReportedOnlyWhileItIsInForce() {
    send("org");
    measure(20);
    assertThat(reportedTargets()).allMatch(target -> target.getSpeedPermille() == 0);
    state(100);
    measure(20);
    clock.advance(1_000);
    assertThat(reportedTargets())
        .anyMatch(target -> target.getSpeedPermille() > 0 && target.getSpeedSamples() > 0);
  }

  /** Guards against figures in each datagram, and against a new router that never learns them. */
  @Test
  void speedAndWorkAreReportedWhenChangedOrDue() {
    state(100);
    measure(20);
    int speeds = 0;
    int works = 0;
    for (int millis = 0; millis < 3_000; millis += REPORT_INTERVAL_MILLIS) {
      state(millis < 1_500 ? 100 : 250);
      for (TargetReport target : reportedTargets()) {
        speeds += target.getSpeedPermille() > 0 ? 1 : 0;
        works += target.getWorkPercent() > 0 ? 1 : 0;
      }
      clock.advance(REPORT_INTERVAL_MILLIS);
    }
    assertThat(speeds).isBetween(2, 4);
    assertThat(works).isBetween(6, 14);
  }

  /** Guards against an age that is not transmitted, which would extend the effect of a figure. */
  @Test
  void receiverKnowsTheAgeOfTheWork() {
    state(300);
    clock.advance(150);
    writer.next().forEach(reader::read);
    assertThat(receiver.targets().get(0).speed().workPercent(clock.millis())).isEqualTo(250);
  }

  private List<TargetReport> reportedTargets() {
    return writer.next().stream().flatMap(report -> report.getTargetsList().stream()).toList();
  }

  /** Records a response in which the target states the duration of its work. */
  private void state(int percent) {
    sender
        .targets()
        .get(0)
        .speed()
        .onStatus(
            Optional.of(new TargetStatus(1, 0, 640, OptionalInt.of(percent))), clock.millis());
  }

  /** Measures a number of responses. */
  private void measure(int count) {
    Placement placement = new Placement("dc", EngineModel.DEFAULT);
    for (int i = 0; i < count; i++) {
      SpeedMeasurement measurement =
          placement.measure(sender.targets().get(0), job("org").prompt(), clock.millis());
      measurement.onFirstEvent(clock.millis() + 100);
      measurement.onComplete(clock.millis() + 100);
    }
  }

  /** Returns the cost of one request, in tokens. */
  private double cost() {
    Prompt prompt = job("org").prompt();
    return prompt.promptTokens() + 2.0 * prompt.expectedOutputTokens();
  }

  /** Creates a dispatcher with one target of large capacity. */
  private Dispatcher createDispatcher() {
    Dispatcher dispatcher =
        new Dispatcher(
            clock,
            new Placement("dc", EngineModel.DEFAULT),
            EngineModel.DEFAULT,
            new DispatchLimits(1_000_000, 1, 512, 2_000, 500, true));
    dispatcher.add(
        new TargetLoad(
            new TargetRecord("t", "s", "127.0.0.1", 80, "dc", 640, TargetRecord.State.READY, 0, 1),
            1_000_000));
    return dispatcher;
  }
}
