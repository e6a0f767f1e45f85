package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.almondslip.placement.Prompt;
import org.junit.jupiter.api.Test;

/** Tests {@link OrganisationQueue}. */
class OrganisationQueueTest {

  /** Time of all calls in milliseconds. */
  private static final long NOW = 1_000;

  /** Objective of the jobs in milliseconds. */
  private static final long OBJECTIVE_MILLIS = 1_000;

  /** Cost of the expected output of a {@link TestJob}, in tokens. */
  private static final int OUTPUT_COST = (int) FairQueue.cost(new Prompt(List.of(), 0, 100));

  private final OrganisationQueue queue = new OrganisationQueue();

  /** Guards against offering all jobs of one route before those of another are considered again. */
  @Test
  void sentJobsChangeTheOrderOfTheRemainingOnes() {
    for (int i = 0; i < 2; i++) {
      queue.add(request("short", 0, 1_000));
      queue.add(request("long", 0, 5_000));
    }
    List<String> offered = new ArrayList<>();
    for (Iterator<Job> jobs = queue.ordered(NOW); jobs.hasNext(); ) {
      Job job = jobs.next();
      offered.add(job.route());
      queue.charge(job.route(), FairQueue.cost(job), NOW);
    }
    assertThat(offered.subList(0, 2)).containsExactlyInAnyOrder("short", "long");
    assertThat(offered.subList(2, 4)).containsExactlyInAnyOrder("short", "long");
  }

  /** Guards against a lower rank that is offered first although its floor is met, or never. */
  @Test
  void higherRankPrecedesUnlessTheFloorOfTheLowerOneIsNotMet() {
    TestJob high = request("high", 0, 1_000);
    TestJob low = request("low", 3, 1_000);
    queue.charge("high", 500, NOW);
    queue.add(high);
    queue.add(low);
    assertThat(queue.ordered(NOW).next()).isSameAs(low);
    queue.charge("low", 110, NOW);
    assertThat(queue.ordered(NOW).next()).isSameAs(high);
  }

  /** Guards against refusals for jobs of other routes that are served later. */
  @Test
  void estimateIgnoresRoutesThatWereServedMore() {
    queue.add(request("served", 0, 5_000));
    queue.charge("served", 4_000, NOW);
    assertThat(queue.tokensAhead(request("new", 0, 1_000), NOW)).isZero();
  }

  /** Guards against accepting a job that must wait for other routes longer than its objective. */
  @Test
  void estimateCountsEqualRoutesUpToTheSameServedFraction() {
    queue.add(request("a", 0, 1_000));
    for (int i = 0; i < 2; i++) {
      queue.add(request("b", 0, 2_000));
    }
    // A third of the demand of route a waits before the new job; it precedes after a third of b.
    request("a", 0, 1_000);
    assertThat(queue.tokensAhead(request("a", 0, 1_000), NOW))
        .isCloseTo(1_000 + 2 * 2_000 / 3.0, within(1.0));
  }

  /** Guards against accepting jobs of a lower rank that are served after all of a higher rank. */
  @Test
  void estimateCountsHigherRankWithWhatArrivesMeanwhile() {
    queue.charge("low", 5_000, NOW);
    queue.add(request("high", 0, 4_000));
    TestJob low = request("low", 1, 1_000);
    // A demand of 4,000 tokens in a decayed sum over 4 s is one token a millisecond.
    assertThat(queue.tokensAhead(low, NOW)).isCloseTo(4_000 + OBJECTIVE_MILLIS, within(1.0));
    assertThat(queue.tokensAhead(request("high", 0, 4_000), NOW)).isCloseTo(4_000, within(1.0));
  }

  /** Records a request with the given cost in tokens. */
  private TestJob request(String route, int rank, int cost) {
    int tokens = cost - OUTPUT_COST;
    TestJob job =
        new TestJob("org", route, 1, tokens, NOW, OBJECTIVE_MILLIS, sent -> {}).withPriority(rank);
    queue.onRequested(job, NOW);
    return job;
  }
}
