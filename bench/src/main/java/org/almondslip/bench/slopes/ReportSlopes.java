package org.almondslip.bench.slopes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;
import org.almondslip.time.Clock;

/**
 * Costs of what the routers of the platform tell one another, for one interval and one receiver.
 */
final class ReportSlopes {

  /** Sizes of what a router has to tell. */
  private static final int[] SIZES = {5, 20, 60, 120};

  /** Size of what does not grow in a series. */
  private static final int FEW = 1;

  /** Intervals in each round. */
  private static final int INTERVALS = 50;

  /** Interval of reports in milliseconds. */
  private static final long INTERVAL_MILLIS = 60;

  /** Memory of an engine in tokens. */
  private static final long MEMORY_TOKENS = 600_000;

  /** Name of the service. */
  private static final String SERVICE = "service-1";

  /** Prompt of all requests. */
  private static final Prompt PROMPT =
      new Prompt(
          List.of(new Prompt.Segment(1L << 60, 4_000), new Prompt.Segment(2L << 60, 900)),
          5_100,
          400);

  /**
   * What a router has to tell.
   *
   * @param organisations the organisations with a new total
   * @param targets the targets with requests of the router
   * @param prompts the prompts sent in the interval
   */
  private record Load(int organisations, int targets, int prompts) {}

  /** Not instantiable. */
  private ReportSlopes() {}

  /**
   * Measures.
   *
   * @return the costs
   */
  static List<Series> measure() {
    List<Series> series = new ArrayList<>();
    series.addAll(
        Sweep.TIMED.run(
            "report_by_organisation",
            "organisations with a new total",
            SIZES,
            size -> report(new Load(size, FEW, FEW))));
    series.addAll(
        Sweep.TIMED.run(
            "report_by_target",
            "targets with requests of the router",
            SIZES,
            size -> report(new Load(FEW, size, FEW))));
    series.addAll(
        Sweep.TIMED.run(
            "report_by_prompt",
            "prompts sent in the interval",
            SIZES,
            size -> report(new Load(FEW, FEW, size))));
    return series;
  }

  /**
   * Measures the reports of one router and their receiver.
   *
   * @param load what the router has to tell
   * @return the bytes and datagrams of an interval, and the time to write and to read them
   */
  private static Map<String, Double> report(Load load) {
    Clock.Manual clock = new Clock.Manual(1_000_000);
    Dispatcher sender = dispatcher(clock, load.targets());
    Dispatcher receiver = dispatcher(clock, load.targets());
    SegmentQuarantine segments =
        new SegmentQuarantine(clock, "edge-region-a-1", SegmentQuarantine.Listener.NoOp.INSTANCE);
    ReportWriter writer = new ReportWriter("edge-region-a-1", 1, sender, segments, clock, 5);
    ReportReader reader = new ReportReader(receiver, new CrashQuarantine(clock), segments, clock);
    sender.targets().forEach(target -> target.onSent(PROMPT));
    ProcessorTime writing = new ProcessorTime();
    ProcessorTime reading = new ProcessorTime();
    long bytes = 0;
    long datagrams = 0;
    for (int interval = 0; interval < INTERVALS; interval++) {
      clock.advance(INTERVAL_MILLIS);
      for (int i = 0; i < load.organisations(); i++) {
        sender.onRefused(SERVICE, "organisation-" + i, PROMPT, RefusalReason.EXPECTED_WAIT);
      }
      for (int i = 0; i < load.prompts(); i++) {
        writer.onSent(sender.targets().get(i % load.targets()), PROMPT);
      }
      List<byte[]> sent = new ArrayList<>();
      writing.time(() -> writer.next().forEach(report -> sent.add(report.toByteArray())));
      reading.time(() -> sent.forEach(data -> read(reader, data)));
      bytes += sent.stream().mapToLong(data -> data.length).sum();
      datagrams += sent.size();
    }
    Map<String, Double> costs = new HashMap<>();
    costs.put("bytes", (double) bytes / INTERVALS);
    costs.put("datagrams", (double) datagrams / INTERVALS);
    costs.put("write_us", writing.takeMicros() / INTERVALS);
    costs.put("read_us", reading.takeMicros() / INTERVALS);
    return costs;
  }

  /**
   * Reads a datagram.
   *
   * @param reader the receiver
   * @param data the datagram
   */
  private static void read(ReportReader reader, byte[] data) {
    try {
      reader.read(LoadReport.parseFrom(data));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a report cannot be read", e);
    }
  }

  /**
   * Creates the order of requests of a router.
   *
   * @param clock the source of time
   * @param targets the number of targets
   * @return the order
   */
  private static Dispatcher dispatcher(Clock clock, int targets) {
    Dispatcher dispatcher =
        new Dispatcher(
            clock,
            new Placement("dc-1", EngineModel.DEFAULT),
            EngineModel.DEFAULT,
            DispatchLimits.DEFAULT);
    for (int i = 0; i < targets; i++) {
      TargetRecord record =
          new TargetRecord(
              "target-" + i,
              SERVICE,
              "10.0.0." + i,
              80,
              "dc-1",
              64,
              TargetRecord.State.READY,
              1,
              1);
      dispatcher.add(new TargetLoad(record, MEMORY_TOKENS));
    }
    return dispatcher;
  }
}
