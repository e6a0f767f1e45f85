package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.directory.TargetRecord;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests {@link Dispatcher} with targets under overload. */
class DispatcherTest {

  /** Objective of the jobs in milliseconds. */
  private static final long OBJECTIVE_MILLIS = 1_000;

  /** Time after which shares are recomputed, in milliseconds. */
  private static final long SHARE_INTERVAL_MILLIS = 20;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT);

  /** Jobs at targets in the order in which they were sent. */
  private final Deque<TestJob> running = new ArrayDeque<>();

  /** Sent tokens by organisation. */
  private final Map<String, Long> sent = new HashMap<>();

  /** Guards against a flood of one organisation that starves the others. */
  @Test
  void floodDoesNotReduceTheShareOfOthers() {
    dispatcher.add(target("a"));
    for (int step = 0; step < 600; step++) {
      for (int i = 0; i < 8; i++) {
        submit("flood", "r", i, 5_000);
      }
      if (step % 8 == 0) {
        submit("small", "r", 100, 5_000);
      }
      advance(20);
    }
    // The small organisation submits 75 jobs of 5,000 tokens; more than 80 % of them are sent.
    assertThat(sent.get("small")).isGreaterThan(75 * 5_000 * 8 / 10);
    assertThat(sent.get("flood")).isGreaterThan(sent.get("small"));
  }

  /** Guards against long prompts that starve short requests of the same organisation. */
  @Test
  void routesShareTheServiceOfTheirOrganisation() {
    dispatcher.add(target("a"));
    List<TestJob> shorts = new ArrayList<>();
    for (int step = 0; step < 300; step++) {
      submit("org", "long", step % 4, 9_000);
      submit("org", "long", step % 4, 9_000);
      shorts.add(submit("org", "short", 50, 500));
      advance(50);
    }
    long served = shorts.stream().filter(job -> job.target().isPresent()).count();
    assertThat(served).isGreaterThan(shorts.size() * 9 / 10);
  }

  /** Guards against queueing a request until its deadline although it cannot be served in time. */
  @Test
  void refusesLateJobImmediately() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    target.onPeerReport("router-2", 100_000, 60, clock.millis());
    assertThat(submit("org", "r", 1, 5_000).refusal()).contains(RefusalReason.EXPECTED_WAIT);
  }

  /** Guards against refusing a request as not run although a target may have run it. */
  @Test
  void neverRefusesRetryForItsWait() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    target.onPeerReport("router-2", 100_000, 60, clock.millis());
    TestJob job =
        new TestJob("org", "r", 1, 5_000, clock.millis(), OBJECTIVE_MILLIS, running::add)
            .markRetry();
    dispatcher.submit(job);
    assertThat(job.refusal()).isEmpty();
    assertThat(job.target()).contains(target);
  }

  /** Guards against prefilling a shared segment again shortly before its target is available. */
  @Test
  void jobWaitsForTheTargetThatCachesItsSegment() {
    TargetLoad caching = target("a");
    dispatcher.add(caching);
    final TestJob first = submit("org", "r", 1, 9_000);
    dispatcher.add(target("b"));
    TestJob second = submit("org", "r", 1, 9_000);
    assertThat(second.target()).isEmpty();
    first.end();
    dispatcher.dispatchWaiting("s");
    assertThat(second.target()).contains(caching);
  }

  /** Guards against a locality wait that lasts until the objective is missed. */
  @Test
  void jobUsesAnotherTargetAfterItsLocalityWait() {
    dispatcher.add(target("a"));
    submit("org", "r", 1, 9_000);
    TargetLoad idle = target("b");
    dispatcher.add(idle);
    TestJob second = submit("org", "r", 1, 9_000);
    clock.advance(OBJECTIVE_MILLIS / 2);
    dispatcher.tick();
    assertThat(second.target()).contains(idle);
  }

  /** Guards against refusing a job because of queued jobs that only wait for a cached segment. */
  @Test
  void jobsInLocalityWaitDoNotBlockOthers() {
    dispatcher.add(target("a"));
    submit("org", "r", 1, 9_000);
    TargetLoad idle = target("b");
    dispatcher.add(idle);
    for (int i = 0; i < 5; i++) {
      submit("org", "r", 1, 9_000);
    }
    TestJob other = submit("org", "r", 2, 5_000);
    assertThat(other.refusal()).isEmpty();
    assertThat(other.target()).contains(idle);
  }

  /**
   * Guards against skipping the locality wait of organisations with little demand. They always
   * received less service than others, but are served in time nevertheless.
   */
  @Test
  void smallOrganisationWaitsForItsSegmentBesideLargeOnes() {
    TargetLoad caching = target("a");
    dispatcher.add(caching);
    for (int i = 0; i < 5; i++) {
      submit("small", "r", 1, 9_000).end();
    }
    final TestJob first = submit("small", "r", 1, 13_000);
    dispatcher.onPeerUsage("s", "large", 2_000_000, 500_000);
    dispatcher.add(target("b"));
    TestJob second = submit("small", "r", 1, 9_000);
    assertThat(second.target()).isEmpty();
    first.end();
    dispatcher.dispatchWaiting("s");
    assertThat(second.target()).contains(caching);
  }

  /** Guards against a locality wait of an organisation that is underserved. */
  @Test
  void underservedOrganisationUsesAnyTarget() {
    TargetLoad caching = target("a");
    dispatcher.add(caching);
    submit("small", "r", 1, 9_000);
    dispatcher.onPeerUsage("s", "large", 2_000_000, 500_000);
    caching.onPeerReport("router-2", 100_000, 60, clock.millis());
    assertThat(submit("small", "r", 1, 9_000).refusal()).isPresent();
    assertThat(submit("small", "r", 1, 9_000).refusal()).isPresent();
    TargetLoad idle = target("b");
    dispatcher.add(idle);
    clock.advance(SHARE_INTERVAL_MILLIS);
    assertThat(submit("small", "r", 1, 9_000).target()).contains(idle);
  }

  /** Guards against a router that ignores organisations which are underserved at other routers. */
  @Test
  void overservedOrganisationLeavesCapacityToUnderservedOnes() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    dispatcher.onPeerUsage("s", "overserved", 2_000_000, 500_000);
    dispatcher.onPeerUsage("s", "underserved", 1_000_000, 100_000);
    target.onPeerReport("router-2", 4_000, 1, clock.millis());
    TestJob overserved = submit("overserved", "r", 1, 500);
    TestJob underserved = submit("underserved", "r", 1, 500);
    assertThat(overserved.target()).isEmpty();
    assertThat(underserved.target()).contains(target);
  }

  /** Guards against idle targets that are reserved for organisations without requests here. */
  @Test
  void overservedOrganisationUsesIdleTarget() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    dispatcher.onPeerUsage("s", "overserved", 2_000_000, 500_000);
    dispatcher.onPeerUsage("s", "underserved", 1_000_000, 100_000);
    assertThat(submit("overserved", "r", 1, 500).target()).contains(target);
  }

  /** Guards against work proportional to the queue length while no target is available. */
  @Test
  void waitingJobsAreNotExaminedWhileNoTargetIsAvailable() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    target.onPeerReport("router-2", 9_000, 1, clock.millis());
    List<TestJob> waiting = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      waiting.add(submit("org-" + i, "r", 1, 100));
    }
    int calls = waiting.stream().mapToInt(TestJob::promptCalls).sum();
    for (int i = 0; i < 20; i++) {
      dispatcher.dispatchWaiting("s");
    }
    assertThat(waiting).allMatch(job -> job.target().isEmpty() && job.refusal().isEmpty());
    assertThat(waiting.stream().mapToInt(TestJob::promptCalls).sum()).isEqualTo(calls);
  }

  /** Guards against jobs that stay in the queue of a service without targets. */
  @Test
  void refusesJobIfNoTargetAppearsInTime() {
    TestJob job = submit("org", "r", 1, 500);
    assertThat(job.refusal()).isEmpty();
    clock.advance(OBJECTIVE_MILLIS);
    dispatcher.tick();
    assertThat(job.refusal()).contains(RefusalReason.NO_TARGET);
  }

  /**
   * Submits a job.
   *
   * @param organisation the name of the organisation
   * @param route the name of the route
   * @param shared the id of the shared segment
   * @param tokens the number of tokens of the prompt
   * @return the job
   */
  private TestJob submit(String organisation, String route, long shared, int tokens) {
    TestJob job =
        new TestJob(
            organisation, route, shared, tokens, clock.millis(), OBJECTIVE_MILLIS, this::onSent);
    dispatcher.submit(job);
    return job;
  }

  /** Records a sent job. */
  private void onSent(TestJob job) {
    running.add(job);
    sent.merge(job.organisation(), (long) job.prompt().promptTokens(), Long::sum);
  }

  /**
   * Advances the clock and the engine, which prefills in the order in which jobs were sent.
   *
   * @param millis the time in milliseconds
   */
  private void advance(long millis) {
    clock.advance(millis);
    double budget = millis * EngineModel.DEFAULT.prefillTokensPerMilli();
    while (!running.isEmpty() && budget > 0) {
      budget -= running.peek().prompt().promptTokens();
      running.poll().end();
    }
    dispatcher.tick();
  }

  /** Creates an idle engine whose cache holds 1,000,000 tokens. */
  private static TargetLoad target(String id) {
    return new TargetLoad(
        new TargetRecord(id, "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1),
        1_000_000);
  }
}
