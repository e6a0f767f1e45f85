package org.almondslip.accounting;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FairnessBoundTest {

  /** Guards against a bound so loose that agents which all select the same flow stay below it. */
  @Test
  void ownChargesAloneExceedTheBound() {
    FleetPlan plan = FairnessExperiment.plan(240, 1_000).withOrganisations(10).withCosts(4, 40);
    long bound = FairnessExperiment.bound(plan, 0).chargeGapMillis();
    assertThat(largestGap(plan.withRule(PortionRule.NONE))).isGreaterThan(2 * bound);
    assertThat(largestGap(plan)).isLessThan(bound / 20);
  }

  /** Guards against agents that select the same flow at once or extrapolate wrongly. */
  @ParameterizedTest
  @CsvSource({
    "60, 250, ALL", "60, 1000, ALL", "60, 250, HALF", "60, 1000, HALF",
    "240, 250, ALL", "240, 1000, ALL", "240, 250, HALF", "240, 1000, HALF"
  })
  void equalPortionsStayUnderTheBound(int agents, long interval, FleetPlan.Reach reach) {
    FleetPlan plan = FairnessExperiment.plan(agents, interval).withReach(reach).withCosts(20, 200);
    FleetHarness fleet = new FleetHarness(plan);
    fleet.run(3_000, fleet.flows);
    int half = plan.organisations() / 2;
    long wide = fleet.run(2_000, fleet.flows.subList(0, half));
    long narrow = fleet.run(2_000, fleet.flows.subList(half, plan.organisations()));
    long bound = FairnessExperiment.bound(plan, 0).chargeGapMillis();
    assertThat(Math.max(wide, narrow)).isPositive().isLessThan(bound);
  }

  private static long largestGap(FleetPlan plan) {
    FleetHarness fleet = new FleetHarness(plan);
    return fleet.run(12_000, fleet.flows);
  }
}
