package org.almondslip.accounting;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.junit.jupiter.api.Test;

class DigestNodeTest {

  private static final int SLOTS = 48;

  /** Guards against account errors that persist after lost, repeated or reordered messages. */
  @Property(seed = "21", tries = 8, shrinking = ShrinkingMode.OFF)
  void accountsConvergeDespiteLossRepetitionAndReordering(@ForAll long seed) {
    FleetHarness fleet = new FleetHarness(small(seed).withNetwork(1, 300, 0.2, 0.2));
    fleet.run(20_000, fleet.flows);
    assertThat(fleet.accountError()).isPositive();
    stopAndSettle(fleet);
    assertThat(fleet.accountError()).isZero();
  }

  /** Guards against a service gap that exceeds the bound when digests are lost. */
  @Property(seed = "22", tries = 8, shrinking = ShrinkingMode.OFF)
  void gapStaysUnderTheBoundWithLoss(@ForAll long seed) {
    FleetPlan plan = small(seed).withNetwork(1, 50, 0.1, 0.1);
    FleetHarness fleet = new FleetHarness(plan);
    fleet.run(4_000, fleet.flows);
    long bound = FairnessExperiment.bound(plan, 3).chargeGapMillis();
    assertThat(fleet.run(20_000, fleet.flows)).isLessThan(bound);
  }

  /** Guards against a flow that accumulates credit while it is idle. */
  @Property(seed = "23", tries = 6, shrinking = ShrinkingMode.OFF)
  void idleTimeGivesNoCredit(@ForAll long seed) {
    FleetHarness fleet = new FleetHarness(small(seed));
    Flow idle = fleet.flows.get(0);
    fleet.setWaiting(idle, 0);
    fleet.run(60_000, fleet.flows);
    long lag = fleet.gap(fleet.flows);
    fleet.setWaiting(idle, fleet.plan.waiting());
    long before = fleet.started.getOrDefault(idle.id(), 0L);
    fleet.run(5_000, fleet.flows);
    long served = fleet.started.get(idle.id()) - before;
    long fair = SLOTS * 5_000L / fleet.flows.size();
    long bound = FairnessExperiment.bound(fleet.plan, 0).chargeGapMillis();
    assertThat(lag).isGreaterThan(10 * bound);
    assertThat(served).isLessThan(fair + bound);
  }

  /** Guards against starvation of a flow with single requests beside flows with large backlogs. */
  @Property(seed = "24", tries = 6, shrinking = ShrinkingMode.OFF)
  void smallFlowWaitsForFewRequestsBesideFlood(@ForAll long seed) {
    FleetHarness fleet = new FleetHarness(small(seed));
    Flow tiny = fleet.flows.get(0);
    fleet.setWaiting(tiny, 0);
    fleet.run(5_000, fleet.flows);
    SimulatedAgent agent = fleet.agents.values().iterator().next();
    for (int request = 0; request < 10; request++) {
      agent.setWaiting(tiny, 1);
      fleet.run(4 * fleet.plan.largestCostMillis(), fleet.flows);
      assertThat(agent.scheduler.hasBacklog(tiny)).isFalse();
    }
  }

  /** Guards against lost accounts after the restart of an agent. */
  @Property(seed = "25", tries = 6, shrinking = ShrinkingMode.OFF)
  void restartLosesAtMostUnreportedCharges(@ForAll long seed) {
    FleetHarness fleet = new FleetHarness(small(seed));
    fleet.run(5_000, fleet.flows);
    String leaf = agentsInTreeOrder(fleet).get(agentsInTreeOrder(fleet).size() - 1);
    restart(fleet, leaf, 2);
    fleet.run(5_000, fleet.flows);
    stopAndSettle(fleet);
    assertThat(fleet.accountError()).isLessThan(lossOfOneInterval(fleet));
  }

  /** Guards against lost accounts after the failure or replacement of a root. */
  @Property(seed = "26", tries = 6, shrinking = ShrinkingMode.OFF)
  void successorContinuesWithTheCounters(@ForAll long seed) {
    FleetHarness fleet = new FleetHarness(small(seed));
    fleet.run(8_000, fleet.flows);
    String root = agentsInTreeOrder(fleet).get(0);
    fleet.kill(root, 1_000);
    fleet.run(8_000, fleet.flows);
    fleet.sendMembers();
    fleet.run(4_000, fleet.flows);
    restart(fleet, root, 2);
    fleet.run(8_000, fleet.flows);
    stopAndSettle(fleet);
    assertThat(fleet.accountError()).isLessThan(4 * lossOfOneInterval(fleet));
  }

  /** Guards against account errors that persist after a partition of three minutes. */
  @Property(seed = "27", tries = 4, shrinking = ShrinkingMode.OFF)
  void totalsReturnAfterPartition(@ForAll long seed) {
    FleetHarness fleet = new FleetHarness(small(seed));
    fleet.run(5_000, fleet.flows);
    fleet.partition(true);
    fleet.run(180_000, fleet.flows);
    assertThat(fleet.accountError()).isGreaterThan(100_000);
    fleet.partition(false);
    fleet.run(5_000, fleet.flows);
    stopAndSettle(fleet);
    assertThat(fleet.accountError()).isZero();
  }

  /** Guards against control traffic above the byte budget of a process. */
  @Test
  void messagesStayUnderTheByteBudget() {
    FleetPlan plan = FleetPlan.BASE.withSize(120, 6).withOrganisations(97).withCosts(200, 2_000);
    FleetHarness fleet = new FleetHarness(plan);
    fleet.run(15_000, List.of());
    fleet.bytes.clear();
    fleet.run(20_000, List.of());
    long busiest = fleet.bytes.values().stream().mapToLong(Long::longValue).max().orElseThrow();
    assertThat(busiest / 20).isLessThan(14_000);
  }

  private static FleetPlan small(long seed) {
    DigestSettings settings =
        DigestSettings.DEFAULT.withGraceMillis(10).withActiveMillis(3_600_000);
    return FleetPlan.BASE
        .withSize(SLOTS / FleetPlan.BASE.slots(), 2)
        .withOrganisations(4)
        .withSettings(settings)
        .withSeed(seed);
  }

  private static void stopAndSettle(FleetHarness fleet) {
    fleet.flows.forEach(flow -> fleet.setWaiting(flow, 0));
    fleet.run(40_000, fleet.flows);
  }

  private static void restart(FleetHarness fleet, String id, long incarnation) {
    if (fleet.agents.containsKey(id)) {
      fleet.kill(id, 100);
    }
    fleet.run(200, fleet.flows);
    SimulatedAgent agent = fleet.add(Integer.parseInt(id.substring(1)), incarnation);
    fleet.sendMembers();
    fleet.agents.values().forEach(other -> other.node.onPeerOpen(agent.peer()));
  }

  private static List<String> agentsInTreeOrder(FleetHarness fleet) {
    List<Member> members = fleet.agents.values().stream().map(agent -> agent.member).toList();
    return DigestTree.of(members).agents("dc0");
  }

  private static long lossOfOneInterval(FleetHarness fleet) {
    return SLOTS * (fleet.plan.settings().intervalMillis() + fleet.plan.largestCostMillis());
  }
}
