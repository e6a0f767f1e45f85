package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.pace.FleetPace;
import org.almondslip.pace.PaceListener;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests {@link Dispatcher} with cold targets. */
class PacedDispatchTest {

  private static final long OBJECTIVE_MILLIS = 1_000;

  private static final long COLD_MILLIS = 8_000;

  /** Interval of {@link Dispatcher#tick} in milliseconds. */
  private static final long TICK_MILLIS = 20;

  private final Clock.Manual clock = new Clock.Manual(10_000);

  private final FleetPace pace = new FleetPace("a", 1.5, 5, PaceListener.NoOp.INSTANCE);

  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT);

  /** Times at which jobs were sent, in milliseconds. */
  private final List<Long> sent = new ArrayList<>();

  PacedDispatchTest() {
    pace.onTable(
        new RoutingTable(
            1,
            List.of(),
            List.of(new ServicePolicy("s", 500_000, COLD_MILLIS, 10, "/health")),
            Map.of(),
            false,
            new IngressLimits(8_192, 65_536, 3_000, 15_000)));
  }

  /** Guards against a job that waits for the next event although a permit is available. */
  @Test
  void waitingJobIsSentWithTheNextPermit() {
    list("a", "b", "c", "d");
    add("t", true);
    TestJob job = submit();
    assertThat(job.target()).isEmpty();
    assertThat(job.refusal()).isEmpty();
    advance(400);
    assertThat(job.target()).isPresent();
  }

  /** Guards against jobs that wait for a router that may not send to the target at all. */
  @Test
  void routerThatIsNotSelectedRefusesAtOnce() {
    list("b", "c", "d", "e");
    add("t", true);
    assertThat(submit().refusal()).contains(RefusalReason.EXPECTED_WAIT);
  }

  /** Guards against retries that pass the permits, and against more jobs than permits. */
  @Test
  void retriesAndNewJobsShareThePermits() {
    list("a", "b", "c", "d");
    TargetLoad target = add("t", true);
    for (long i = 0; i < 4_000 / TICK_MILLIS; i++) {
      submit();
      dispatcher.submit(job().markRetry());
      target.onPrefilled(1_000_000);
      advance(TICK_MILLIS);
    }
    assertThat(sent).hasSizeBetween(9, 10);
    for (int i = 1; i < sent.size(); i++) {
      assertThat(sent.get(i) - sent.get(i - 1)).isGreaterThanOrEqualTo(400);
    }
  }

  /** Guards against a queue of which most jobs are refused only when they are late. */
  @Test
  void jobsBehindTheLastPermitInTimeAreRefusedAtOnce() {
    list("a", "b", "c", "d");
    add("t", true);
    List<TestJob> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      jobs.add(submit());
    }
    assertThat(jobs.stream().filter(job -> job.refusal().isEmpty())).hasSize(2);
    advance(900);
    assertThat(sent).hasSize(2);
  }

  /** Guards against requests for a cold target while warm ones have room. */
  @Test
  void oneOfThreeTargetsStaysCold() {
    list("b", "c", "d", "e");
    final TargetLoad cold = add("cold", true);
    add("warm-1", false);
    add("warm-2", false);
    for (int i = 0; i < 20; i++) {
      TestJob job = submit();
      assertThat(job.target()).isPresent();
      job.end();
    }
    assertThat(cold.requests(clock.millis())).isZero();
  }

  /** Guards against a data centre whose targets stay idle when they are no longer cold. */
  @Test
  void targetIsUsedFullyAfterTheColdPeriod() {
    list("b", "c", "d", "e");
    add("t", true);
    advance(COLD_MILLIS);
    assertThat(submit().target()).isPresent();
  }

  /** Guards against a pause that a cold or recovering target asked for and that is forgotten. */
  @Test
  void pauseStaysInForceBesideTheWindow() {
    list("a");
    TargetLoad target = add("t", true);
    advance(COLD_MILLIS);
    target.onPause(2_000, clock.millis());
    target.pace().onRefused(clock.millis());
    assertThat(target.remainingPauseMillis(clock.millis())).isEqualTo(2_000);
    assertThat(submit().refusal()).contains(RefusalReason.EXPECTED_WAIT);
    advance(2_000);
    assertThat(submit().target()).contains(target);
  }

  /** Guards against a replacement of all targets after which none gets its full share. */
  @Test
  void rollingReplacementReachesFullShareOfAllTargets() {
    list("a", "b", "c", "d");
    for (int i = 0; i < 3; i++) {
      add("old-" + i, false);
    }
    for (int i = 0; i < 3; i++) {
      dispatcher.remove("s", "old-" + i);
      TargetLoad started = add("new-" + i, true);
      for (int step = 0; step < 50; step++) {
        TestJob job = submit();
        assertThat(job.target().isPresent() || i == 2).isTrue();
        job.target().ifPresent(target -> job.end());
        advance(TICK_MILLIS);
      }
      assertThat(started.pace().isCold(clock.millis())).isTrue();
    }
    advance(COLD_MILLIS + 6_000);
    assertThat(pace.coldTargets()).isZero();
    assertThat(pace.rampingTargets()).isZero();
  }

  /** Guards against the full load on a data centre whose targets come back cold together. */
  @Test
  void dataCentreThatComesBackColdGetsNoMoreThanItTolerates() {
    list("a", "b", "c", "d");
    List<TargetLoad> targets = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      TargetLoad target = add("t-" + i, false);
      target.pace().onEvacuationEnded(clock.millis());
      targets.add(target);
    }
    int[] requests = new int[targets.size()];
    for (int step = 0; step < 100; step++) {
      for (int i = 0; i < 10; i++) {
        submit();
      }
      advance(TICK_MILLIS);
      for (int i = 0; i < requests.length; i++) {
        requests[i] = targets.get(i).ownRequests();
        targets.get(i).onPrefilled(1_000_000);
      }
    }
    assertThat(requests).containsOnly(5);
  }

  private void list(String... routers) {
    pace.onRouters(Set.of(routers), 0);
  }

  private TargetLoad add(String id, boolean started) {
    TargetRecord record =
        new TargetRecord(id, "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 1, 1);
    TargetLoad target =
        new TargetLoad(record, 500_000, pace.create(record, started, clock.millis()));
    dispatcher.add(target);
    return target;
  }

  private TestJob submit() {
    TestJob job = job();
    dispatcher.submit(job);
    return job;
  }

  private TestJob job() {
    return new TestJob(
        "org", "r", 1, 100, clock.millis(), OBJECTIVE_MILLIS, job -> sent.add(clock.millis()));
  }

  private void advance(long millis) {
    for (long i = 0; i < millis; i += TICK_MILLIS) {
      clock.advance(TICK_MILLIS);
      pace.tick(clock.millis());
      dispatcher.tick();
    }
  }
}
