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

/** Cases of {@link Dispatcher}, with loads that exceed what the targets can do. */
class DispatcherTest {

  /** Objective of the jobs in milliseconds. */
  private static final long OBJECTIVE_MILLIS = 1_000;

  /** Time after which shares are computed anew, in milliseconds. */
  private static final long SHARE_INTERVAL_MILLIS = 20;

  /** Source of time. */
  private final Clock.Manual clock = new Clock.Manual(1_000);

  /** Dispatcher under test. */
  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT);

  /** Jobs at targets, in the order of their sends. */
  private final Deque<TestJob> running = new ArrayDeque<>();

  /** Tokens sent by organisation. */
  private final Map<String, Long> sent = new HashMap<>();

  /** Guards against a flood of one organisation that takes the service of the others. */
  @Test
  void floodLeavesEachOrganisationItsShare() {
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
    // The small organisation asks for an eighth of the engine and is served nearly all of it.
    assertThat(sent.get("small")).isGreaterThan(75 * 5_000 * 8 / 10);
    assertThat(sent.get("flood")).isGreaterThan(sent.get("small"));
  }

  /** Guards against long prompts that take the service of short requests of their organisation. */
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

  /** Guards against holding a request that cannot be served in time until its deadline. */
  @Test
  void refusesHopelessJobAtOnce() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    target.onPeerReport("router-2", 100_000, 60, clock.millis());
    assertThat(submit("org", "r", 1, 5_000).refusal()).contains(RefusalReason.EXPECTED_WAIT);
  }

  /** Guards against an order that is refused as not run although a target may have run it. */
  @Test
  void neverRefusesStartedJobForItsWait() {
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

  /** Guards against reading a shared part again while its target is about to have room. */
  @Test
  void patientJobWaitsForTheTargetThatKeepsItsPart() {
    TargetLoad keeper = target("a");
    dispatcher.add(keeper);
    final TestJob first = submit("org", "r", 1, 9_000);
    dispatcher.add(target("b"));
    TestJob second = submit("org", "r", 1, 9_000);
    assertThat(second.target()).isEmpty();
    first.end();
    dispatcher.dispatchWaiting("s");
    assertThat(second.target()).contains(keeper);
  }

  /** Guards against a patient job that waits while its objective passes. */
  @Test
  void impatientJobTakesAnotherTarget() {
    dispatcher.add(target("a"));
    submit("org", "r", 1, 9_000);
    TargetLoad free = target("b");
    dispatcher.add(free);
    TestJob second = submit("org", "r", 1, 9_000);
    clock.advance(OBJECTIVE_MILLIS / 2);
    dispatcher.tick();
    assertThat(second.target()).contains(free);
  }

  /** Guards against refusing a job for jobs that only wait for a busy target of their own. */
  @Test
  void patientJobsLeaveRoomToOthers() {
    dispatcher.add(target("a"));
    submit("org", "r", 1, 9_000);
    TargetLoad free = target("b");
    dispatcher.add(free);
    for (int i = 0; i < 5; i++) {
      submit("org", "r", 1, 9_000);
    }
    TestJob other = submit("org", "r", 2, 5_000);
    assertThat(other.refusal()).isEmpty();
    assertThat(other.target()).contains(free);
  }

  /**
   * Guards against reading shared parts again for organisations that ask for little: they always
   * received less than the others, and are served in time all the same.
   */
  @Test
  void smallOrganisationWaitsForItsPartBesideLargeOnes() {
    TargetLoad keeper = target("a");
    dispatcher.add(keeper);
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
    assertThat(second.target()).contains(keeper);
  }

  /** Guards against an organisation that waits for its parts while it gets less than the others. */
  @Test
  void underservedOrganisationTakesAnyTarget() {
    TargetLoad keeper = target("a");
    dispatcher.add(keeper);
    submit("small", "r", 1, 9_000);
    dispatcher.onPeerUsage("s", "large", 2_000_000, 500_000);
    keeper.onPeerReport("router-2", 100_000, 60, clock.millis());
    assertThat(submit("small", "r", 1, 9_000).refusal()).isPresent();
    assertThat(submit("small", "r", 1, 9_000).refusal()).isPresent();
    TargetLoad free = target("b");
    dispatcher.add(free);
    clock.advance(SHARE_INTERVAL_MILLIS);
    assertThat(submit("small", "r", 1, 9_000).target()).contains(free);
  }

  /** Guards against a router that serves its organisations while others go short elsewhere. */
  @Test
  void overservedOrganisationLeavesRoomToUnderservedOnes() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    dispatcher.onPeerUsage("s", "rich", 2_000_000, 500_000);
    dispatcher.onPeerUsage("s", "poor", 1_000_000, 100_000);
    target.onPeerReport("router-2", 4_000, 1, clock.millis());
    TestJob rich = submit("rich", "r", 1, 500);
    TestJob poor = submit("poor", "r", 1, 500);
    assertThat(rich.target()).isEmpty();
    assertThat(poor.target()).contains(target);
  }

  /** Guards against targets that idle for an organisation whose requests do not come here. */
  @Test
  void overservedOrganisationTakesIdleTarget() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    dispatcher.onPeerUsage("s", "rich", 2_000_000, 500_000);
    dispatcher.onPeerUsage("s", "poor", 1_000_000, 100_000);
    assertThat(submit("rich", "r", 1, 500).target()).contains(target);
  }

  /** Guards against decisions whose work grows with the queue while no target has room. */
  @Test
  void waitingJobsCostNothingWhileNoTargetHasRoom() {
    TargetLoad target = target("a");
    dispatcher.add(target);
    target.onPeerReport("router-2", 9_000, 1, clock.millis());
    List<TestJob> waiting = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      waiting.add(submit("org-" + i, "r", 1, 100));
    }
    int looks = waiting.stream().mapToInt(TestJob::looks).sum();
    for (int i = 0; i < 20; i++) {
      dispatcher.dispatchWaiting("s");
    }
    assertThat(waiting).allMatch(job -> job.target().isEmpty() && job.refusal().isEmpty());
    assertThat(waiting.stream().mapToInt(TestJob::looks).sum()).isEqualTo(looks);
  }

  /** Guards against a queue that keeps jobs when their service has no target. */
  @Test
  void refusesWhenNoTargetComesInTime() {
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
   * @param shared the id of the shared part
   * @param tokens the tokens of the prompt
   * @return the job
   */
  private TestJob submit(String organisation, String route, long shared, int tokens) {
    TestJob job =
        new TestJob(
            organisation, route, shared, tokens, clock.millis(), OBJECTIVE_MILLIS, this::onSent);
    dispatcher.submit(job);
    return job;
  }

  /**
   * Notes that a job was sent.
   *
   * @param job the job
   */
  private void onSent(TestJob job) {
    running.add(job);
    sent.merge(job.organisation(), (long) job.prompt().promptTokens(), Long::sum);
  }

  /**
   * Lets time pass; the engine reads in the order of the sends.
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

  /**
   * Creates an idle engine.
   *
   * @param id its id
   * @return the engine
   */
  private static TargetLoad target(String id) {
    return new TargetLoad(
        new TargetRecord(id, "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1),
        1_000_000);
  }
}
