package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.almondslip.directory.TargetRecord;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.HeldTokens;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.protocol.wire.TargetReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link TargetMemory}, {@link SendTurns} and {@link HeldTokens}. */
class TargetMemoryTest {

  private static final long CAPACITY = 519_198;

  private static final long LIMIT = (long) (CAPACITY * 0.9);

  private static final int SLOTS = 64;

  /** Prompt tokens of the longest requests. */
  private static final int LONGEST = 54_600;

  /** Limits that leave only the memory to bound the requests. */
  private static final DispatchLimits MEMORY_ONLY =
      new DispatchLimits(1e9, 1, 512, 2_000, 500, true);

  private static final long OBJECTIVE_MILLIS = 1_000_000;

  private final Clock.Manual clock = new Clock.Manual(1_000_000);

  /** Router with its view of the only target. */
  private final class Router {

    private final String name;

    private final TargetLoad target = engine();

    private final Dispatcher dispatcher;

    private final ReportWriter writer;

    private final ReportReader reader;

    private final List<TestJob> running = new ArrayList<>();

    Router(String name, DispatchLimits limits) {
      this.name = name;
      this.dispatcher =
          new Dispatcher(
              clock, new Placement("dc", EngineModel.DEFAULT), EngineModel.DEFAULT, limits);
      dispatcher.add(target);
      SegmentQuarantine segments =
          new SegmentQuarantine(clock, name, SegmentQuarantine.Listener.NoOp.INSTANCE);
      this.writer = new ReportWriter(name, 1, dispatcher, segments, clock, 2);
      this.reader = new ReportReader(dispatcher, new CrashQuarantine(clock), segments, clock);
    }

    TestJob submit(int tokens, boolean retry) {
      TestJob job =
          new TestJob("org", "r", 1, tokens, clock.millis(), OBJECTIVE_MILLIS, running::add);
      if (retry) {
        job.markRetry();
      }
      dispatcher.submit(job);
      return job;
    }
  }

  private static TargetLoad engine() {
    return new TargetLoad(
        new TargetRecord("t", "s", "127.0.0.1", 1, "dc", SLOTS, TargetRecord.State.READY, 7, 1),
        CAPACITY);
  }

  /** Guards against fewer requests at an engine than its slots allow, at ordinary prompt sizes. */
  @Property(seed = "20261206", tries = 50)
  void ordinaryPromptsAreBoundedBySlotsOnly(@ForAll @IntRange(min = 800, max = 12_000) int tokens) {
    Router router = new Router("a", DispatchLimits.DEFAULT.withBoundsTargetMemory(true));
    router.dispatcher.setRouters("a", names(27));
    int bySlots = (int) Math.ceil(SLOTS * DispatchLimits.DEFAULT.maxEngineSlotFraction());
    for (int i = 0; i < bySlots; i++) {
      TestJob job = router.submit(tokens, false);
      assertThat(job.target()).isPresent();
      router.target.onPrefilled(tokens);
    }
    assertThat(router.target.requests(clock.millis())).isEqualTo(bySlots);
  }

  /**
   * Guards against an engine that crashes since all routers send it their longest prompts before
   * they hear of each other, and against a router that never gets a turn.
   */
  @Test
  void longestPromptsOfAllRoutersStayBelowMemory() {
    List<Router> routers = new ArrayList<>();
    for (String name : names(27)) {
      Router router = new Router(name, MEMORY_ONLY);
      router.dispatcher.setRouters(name, names(27));
      routers.add(router);
    }
    List<TestJob> jobs = new ArrayList<>();
    for (Router router : routers) {
      for (int i = 0; i < 3; i++) {
        jobs.add(router.submit(LONGEST, false));
      }
    }
    long most = run(routers, 90_000, 2_000);
    assertThat(most).isLessThanOrEqualTo(LIMIT).isGreaterThan(LIMIT / 2);
    assertThat(jobs).allMatch(job -> job.target().isPresent());
  }

  /** Guards against turns that hold up the requests of a router which is alone. */
  @Test
  void singleRouterUsesAllMemoryAtOnce() {
    Router router = new Router("a", MEMORY_ONLY);
    router.dispatcher.setRouters("a", List.of("a"));
    for (int i = 0; i < 20; i++) {
      router.submit(LONGEST, false);
    }
    assertThat(router.running).hasSize((int) (LIMIT / (LONGEST + 33)));
    assertThat(router.dispatcher.statistics().withheldForMemory().get("s")).isPositive();
    router.running.remove(0).end();
    router.dispatcher.dispatchWaiting("s");
    assertThat(router.running).hasSize((int) (LIMIT / (LONGEST + 33)));
  }

  /** Guards against a retry that exceeds the memory of the only target that is left. */
  @Test
  void retriesObeyMemory() {
    Router router = new Router("a", MEMORY_ONLY);
    router.dispatcher.setRouters("a", List.of("a"));
    router.target.heldTokens().onPeerReport("b", LIMIT - LONGEST, clock.millis());
    TestJob retry = router.submit(LONGEST, true);
    assertThat(retry.target()).isEmpty();
    router.target.heldTokens().onPeerReport("b", LIMIT - 2 * LONGEST, clock.millis());
    router.dispatcher.tick();
    assertThat(retry.target()).isPresent();
  }

  /** Guards against a prompt beyond the memory that is never sent, or sent beside others. */
  @Test
  void requestThatNeverFitsIsSentToIdleTarget() {
    Router router = new Router("a", MEMORY_ONLY);
    router.dispatcher.setRouters("a", List.of("a"));
    TestJob small = router.submit(1_000, false);
    TestJob oversized = router.submit(500_000, false);
    assertThat(oversized.target()).isEmpty();
    small.end();
    router.dispatcher.tick();
    assertThat(oversized.target()).isPresent();
    TestJob next = router.submit(1_000, false);
    assertThat(next.target()).isEmpty();
  }

  /** Guards against a refusal that does not name the memory as its reason. */
  @Test
  void refusalNamesMemory() {
    Router router = new Router("a", MEMORY_ONLY);
    router.dispatcher.setRouters("a", List.of("a"));
    router.target.heldTokens().onPeerReport("b", LIMIT, clock.millis());
    TestJob job = new TestJob("org", "r", 1, LONGEST, clock.millis(), 1_500, sent -> {});
    router.dispatcher.submit(job);
    assertThat(job.refusal()).isEmpty();
    clock.advance(900);
    router.dispatcher.tick();
    assertThat(job.refusal()).contains(RefusalReason.TARGET_MEMORY);
  }

  /** Guards against reports that expire, repeat, or contain implausible numbers. */
  @Test
  void reportsOfHeldTokens() {
    Router sender = new Router("a", MEMORY_ONLY);
    sender.dispatcher.setRouters("a", List.of("a"));
    Router receiver = new Router("b", MEMORY_ONLY);
    final TestJob job = sender.submit(LONGEST, false);
    sender.writer.next().forEach(receiver.reader::read);
    assertThat(receiver.target.heldTokens().free(clock.millis())).isEqualTo(LIMIT - LONGEST - 33);
    receiver.reader.read(report(receiver, -1, 1));
    receiver.reader.read(report(receiver, Integer.MAX_VALUE, 1));
    receiver.reader.read(report(receiver, 0, 1));
    assertThat(receiver.target.heldTokens().free(clock.millis())).isEqualTo(LIMIT - LONGEST - 33);
    // Unchanged tokens are omitted from most reports, and refreshed before they expire.
    int included = 0;
    for (int i = 0; i < 40; i++) {
      clock.advance(60);
      for (LoadReport next : sender.writer.next()) {
        receiver.reader.read(next);
        included +=
            (int) next.getTargetsList().stream().filter(load -> load.getHeldTokens() > 0).count();
      }
      assertThat(receiver.target.heldTokens().free(clock.millis())).isEqualTo(LIMIT - LONGEST - 33);
    }
    assertThat(included).isLessThan(25);
    job.end();
    sender.writer.next().forEach(receiver.reader::read);
    assertThat(receiver.target.heldTokens().free(clock.millis())).isEqualTo(LIMIT);
  }

  private static LoadReport report(Router receiver, int heldTokens, int requests) {
    return LoadReport.newBuilder()
        .setRouter("a")
        .setIncarnation(1)
        .addTargets(
            TargetReport.newBuilder()
                .setTarget(receiver.target.incarnationKey())
                .setRequests(requests)
                .setHeldTokens(heldTokens))
        .build();
  }

  /**
   * Lets routers send, with reports every 60 ms that arrive 180 ms later and clocks that agree.
   *
   * @param routers the routers
   * @param millis the duration in milliseconds
   * @param runMillis the time that each request runs, in milliseconds
   * @return the most tokens that were held at the target at the same time
   */
  private long run(List<Router> routers, long millis, long runMillis) {
    long most = 0;
    Deque<Runnable> deliveries = new ArrayDeque<>();
    Deque<Long> deliverAt = new ArrayDeque<>();
    Deque<TestJob> ends = new ArrayDeque<>();
    Deque<Long> endAt = new ArrayDeque<>();
    for (long at = 0; at < millis; at += 20) {
      clock.advance(20);
      while (!deliverAt.isEmpty() && deliverAt.peek() <= at) {
        deliverAt.poll();
        deliveries.poll().run();
      }
      while (!endAt.isEmpty() && endAt.peek() <= at) {
        endAt.poll();
        ends.poll().end();
      }
      for (Router router : routers) {
        router.dispatcher.tick();
        for (TestJob job : router.running) {
          ends.add(job);
          endAt.add(at + runMillis);
        }
        router.running.clear();
        if (at % 60 == 0) {
          List<LoadReport> reports = router.writer.next();
          deliverAt.add(at + 180);
          deliveries.add(
              () ->
                  routers.stream()
                      .filter(other -> !other.name.equals(router.name))
                      .forEach(other -> reports.forEach(other.reader::read)));
        }
      }
      most =
          Math.max(
              most, routers.stream().mapToLong(router -> router.target.heldTokens().own()).sum());
    }
    return most;
  }

  private static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(i -> "router-" + i).toList();
  }
}
