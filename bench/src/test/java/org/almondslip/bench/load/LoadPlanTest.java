package org.almondslip.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Predicate;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.DeploymentKind;
import org.junit.jupiter.api.Test;

/** Guards the load: the same seed must give the same load, and it must be uneven as described. */
final class LoadPlanTest {

  private final Deployment hanbit = DeploymentKind.HANBIT.toDeployment(20_000);

  private static long count(List<PlannedRequest> requests, String organisation) {
    Predicate<PlannedRequest> own = request -> request.organisation().equals(organisation);
    return requests.stream().filter(own).count();
  }

  @Test
  void sameSeedGivesTheSameLoadInOrderOfTime() {
    Phase phase = Phase.steady(5_000, 0.6);
    List<PlannedRequest> one = new LoadPlan(hanbit, 5, 0).draw(phase);
    assertThat(new LoadPlan(hanbit, 5, 0).draw(phase)).isEqualTo(one);
    assertThat(new LoadPlan(hanbit, 6, 0).draw(phase)).isNotEqualTo(one);
    assertThat(one).extracting(PlannedRequest::atMillis).isSorted();
    assertThat(one).extracting(PlannedRequest::number).doesNotHaveDuplicates();
  }

  @Test
  void largeOrganisationsSendMoreAndTheFloodMost() {
    String large = hanbit.organisations().get(1).name();
    final String small = hanbit.organisations().get(9).name();
    List<PlannedRequest> steady = new LoadPlan(hanbit, 5, 0).draw(Phase.steady(60_000, 0.6));
    assertThat(count(steady, large)).isGreaterThan(4 * count(steady, small));
    Phase contention = Phase.contention(60_000, 1.3, small, 0);
    List<PlannedRequest> flooded = new LoadPlan(hanbit, 5, 0).draw(contention);
    assertThat(count(flooded, small)).isGreaterThan(count(flooded, large));
  }
}
