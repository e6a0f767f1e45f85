package org.almondslip.accounting;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against agents whose accounts do not converge to the charges of the fleet. */
class DigestNodeTest {

  @Test
  void gapStaysFarBelowThatOfTheNaiveOrder() {
    FleetHarness shipped = new FleetHarness(FleetPlan.BASE.withSize(30, 3));
    FleetPlan naive = FleetPlan.BASE.withSize(30, 3).withOrder(PortionRule.NONE);
    FleetHarness herding = new FleetHarness(naive);
    long gap = shipped.run(10_000, shipped.flows).largest;
    long herdingGap = herding.run(10_000, herding.flows).largest;
    assertThat(gap).isLessThan(herdingGap / 10);
  }
}
