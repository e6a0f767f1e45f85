package org.almondslip.pace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the ramp-up of a target that has stopped being cold with routers under full load. */
class RampUpTest {

  /** Time at which the target is warm, in milliseconds. */
  private static final long WARM_AT = 18_000;

  private static final long STEP_MILLIS = 20;

  private static final long RESPONSE_MILLIS = 200;

  /** Transfer time of reports in milliseconds. */
  private static final long TRANSFER_MILLIS = 60;

  /** Interval of reports in milliseconds. */
  private static final long REPORT_MILLIS = 180;

  /** Number of requests from which on the target is not paced. */
  private static final double LIMIT = 64 * 0.35;

  private final List<Router> routers = new ArrayList<>();

  private final Deque<Report> reports = new ArrayDeque<>();

  private boolean hearing = true;

  private long now = 10_000;

  /** Largest sum of running requests while all routers limit them. */
  private int maxRunning;

  /**
   * Report in transfer.
   *
   * @param from the router that sent it
   * @param status the pace of the target
   * @param running the running requests of that router
   * @param arrivesAt the time of its arrival in milliseconds
   */
  private record Report(Router from, PaceStatus status, int running, long arrivesAt) {}

  /** Router that always has requests for the target. */
  private static final class Router {
    private final String name;

    private final FleetPace fleet;

    private final TargetPace target;

    /** Times at which running requests end, in milliseconds. */
    private final Deque<Long> running = new ArrayDeque<>();

    /** Requests of this router as known to others. */
    private int reported;

    private Router(String name, Set<String> names) {
      this.name = name;
      fleet = TargetPaceTest.fleet(name, names, 10);
      target = fleet.create(TargetPaceTest.record(1, 0), true, 10_000);
    }
  }

  /** Guards against a healthy target that needs longer than 2 s for its full share. */
  @Test
  void healthyTargetHasItsFullShareWithinTwoSeconds() {
    for (int size : new int[] {1, 3, 27, 410}) {
      create(size);
      run(WARM_AT + 2_000);
      assertThat(routers.stream().filter(router -> isRamping(router))).isEmpty();
    }
  }

  /** Guards against the sum of many small shares above the window. */
  @Property(seed = "20261207", tries = 6)
  void routersThatDoNotHearEachOtherStayWithinTheWindow(
      @ForAll @IntRange(min = 0, max = 2) int fleet) {
    create(new int[] {2, 27, 410}[fleet]);
    hearing = false;
    run(WARM_AT + 150);
    assertThat(maxRunning).isBetween(1, 8);
  }

  /** Guards against a flood of a target by routers that all see the same free window. */
  @Test
  void routersThatHearEachOtherStayWithinTwiceTheWindow() {
    create(27);
    run(WARM_AT + 150);
    assertThat(maxRunning).isBetween(8, 16);
  }

  /** Guards against full load on a target that crashes during ramp-up and starts again. */
  @Test
  void targetThatCrashesDuringRampUpIsColdAgain() {
    create(3);
    run(WARM_AT + 300);
    for (Router router : routers) {
      router.running.clear();
      router.target.onConnectionFailure(now);
      router.target.onConnectionFailure(now);
      assertThat(router.target.isCold(now)).isTrue();
      assertThat(router.target.waitMillis(now)).isPositive();
    }
    long crashedAt = now;
    run(crashedAt + 8_000 + 2_000);
    assertThat(routers.stream().filter(router -> isRamping(router))).isEmpty();
  }

  /** Guards against a refusal that only one router takes into account. */
  @Test
  void refusalDecreasesTheWindowOfAllRouters() {
    create(27);
    run(WARM_AT + 20);
    run(WARM_AT + 260);
    Router refused = routers.get(5);
    final int before = refused.target.status(now).window();
    refused.target.onRefused(now);
    int after = refused.target.status(now).window();
    assertThat(after).isEqualTo(before / 2);
    int decreases = refused.target.status(now).decreases();
    run(now + REPORT_MILLIS + TRANSFER_MILLIS + STEP_MILLIS);
    assertThat(routers).allMatch(router -> router.target.status(now).decreases() == decreases);
  }

  /** Guards against windows for services that are not configured for a warm-up. */
  @Test
  void servicesWithoutWarmUpOrDurationOfWorkHaveNoWindow() {
    FleetPace fleet = TargetPaceTest.fleet("a", Set.of("a"), 0);
    TargetPace target = fleet.create(TargetPaceTest.record(1, 0), true, now);
    target.onEjected(now);
    target.onPeerReport("b", new PaceStatus(0, 1, 5), now);
    assertThat(target.hasRoom(60, 0, 64, now)).isTrue();
    target.onWorkStated();
    target.onEjected(now);
    assertThat(target.hasRoom(8, 0, 64, now)).isFalse();
  }

  private void create(int size) {
    routers.clear();
    reports.clear();
    now = 10_000;
    maxRunning = 0;
    Set<String> names = new HashSet<>();
    for (int i = 0; i < size; i++) {
      names.add("router-" + i);
    }
    names.forEach(name -> routers.add(new Router(name, names)));
  }

  private boolean isRamping(Router router) {
    return router.target.isCold(now) || !router.target.hasRoom((int) LIMIT - 1, 0, LIMIT, now);
  }

  private void run(long until) {
    for (; now < until; now += STEP_MILLIS) {
      while (!reports.isEmpty() && reports.peekFirst().arrivesAt() <= now) {
        deliver(reports.pollFirst());
      }
      int known = routers.stream().mapToInt(router -> router.reported).sum();
      for (int i = 0; i < routers.size(); i++) {
        Router router = routers.get(i);
        router.fleet.tick(now);
        while (!router.running.isEmpty() && router.running.peekFirst() <= now) {
          router.running.pollFirst();
          router.target.onResponse(RESPONSE_MILLIS, RESPONSE_MILLIS, now);
        }
        send(router, hearing ? known - router.reported : 0);
        if (hearing && (now / STEP_MILLIS + i) % (REPORT_MILLIS / STEP_MILLIS) == 0) {
          PaceStatus status = router.target.status(now);
          reports.add(new Report(router, status, router.running.size(), now + TRANSFER_MILLIS));
        }
      }
      if (now >= WARM_AT && now < WARM_AT + RESPONSE_MILLIS) {
        int running = routers.stream().mapToInt(router -> router.running.size()).sum();
        maxRunning = Math.max(maxRunning, running);
      }
    }
  }

  private void send(Router router, int others) {
    while (router.target.waitMillis(now) == 0
        && router.running.size() + others < LIMIT
        && router.target.hasRoom(router.running.size(), others, LIMIT, now)) {
      router.target.takePermit(now);
      router.running.add(now + RESPONSE_MILLIS);
    }
  }

  private void deliver(Report report) {
    report.from().reported = report.running();
    for (Router router : routers) {
      if (router != report.from()) {
        router.fleet.onHeard(report.from().name, now);
        router.target.onPeerReport(report.from().name, report.status(), now);
      }
    }
  }
}
