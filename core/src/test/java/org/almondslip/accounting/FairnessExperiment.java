package org.almondslip.accounting;

import java.util.List;
import org.almondslip.catalog.Flow;
import org.almondslip.scheduling.Policy;

/** Prints the service gap of each rule for the fleets described in docs/fairness.md. */
final class FairnessExperiment {

  /** Grace period, in milliseconds; frames take 2 to 4 ms. */
  static final long GRACE_MILLIS = 10;

  /** Time before the first sample, in milliseconds, to exclude the cold start. */
  static final long WARM_UP_MILLIS = 5_000;

  private FairnessExperiment() {}

  /** Runs all combinations; the arguments are the seed, the number of agents and the interval. */
  public static void main(String[] arguments) {
    long seed = Long.parseLong(arguments[0]);
    FleetPlan base = plan(Integer.parseInt(arguments[1]), Long.parseLong(arguments[2]));
    FleetPlan shortRequests = base.withOrganisations(10).withCosts(4, 40).withSeed(seed);
    print("NONE", shortRequests.withRule(PortionRule.NONE));
    print("REACH", shortRequests);
    for (FleetPlan.Reach reach : FleetPlan.Reach.values()) {
      for (long cost : new long[] {100, 1_000}) {
        FleetPlan plan = base.withReach(reach).withCosts(cost / 10, cost).withSeed(seed);
        for (PortionRule rule : PortionRule.values()) {
          print(rule.name(), plan.withRule(rule));
        }
      }
    }
    print("FIFO", base.withCosts(10, 100).withPolicy(Policy.FIFO));
    print("ROUND_ROBIN", base.withCosts(10, 100).withPolicy(Policy.ROUND_ROBIN));
  }

  /** Returns the plan of a fleet in one data centre with the grace period above. */
  static FleetPlan plan(int agents, long interval) {
    DigestSettings settings =
        DigestSettings.DEFAULT.withIntervalMillis(interval).withGraceMillis(GRACE_MILLIS);
    return FleetPlan.BASE.withSize(agents, 1).withSettings(settings);
  }

  /** Returns the bound for the flows of a plan that reach all agents. */
  static FairnessBound bound(FleetPlan plan, int lostWaves) {
    int height = 0;
    for (int size = 1, level = 1; size < plan.agents(); height++) {
      level *= 3;
      size += level;
    }
    long delay = FairnessBound.delayMillis(plan.settings(), height, lostWaves);
    return new FairnessBound(
        plan.agents(),
        plan.agents() * plan.slots(),
        plan.largestCostMillis(),
        1,
        plan.settings().intervalMillis(),
        delay,
        0);
  }

  private static void print(String name, FleetPlan plan) {
    FleetHarness fleet = new FleetHarness(plan);
    fleet.run(WARM_UP_MILLIS, fleet.flows);
    List<Flow> wide = fleet.flows.subList(0, plan.organisations() / 2);
    List<Flow> narrow = fleet.flows.subList(plan.organisations() / 2, plan.organisations());
    long largestWide = 0;
    long largestNarrow = 0;
    long sum = 0;
    int samples = 100;
    for (int sample = 0; sample < samples; sample++) {
      fleet.run(50, List.of());
      largestWide = Math.max(largestWide, fleet.gap(wide));
      largestNarrow = Math.max(largestNarrow, fleet.gap(narrow));
      sum += fleet.gap(wide);
    }
    System.out.printf(
        "%-11s agents=%d interval=%d reach=%s cost=%d wide=%d mean=%d narrow=%d bound=%d%n",
        name,
        plan.agents(),
        plan.settings().intervalMillis(),
        plan.reach(),
        plan.largestCostMillis(),
        largestWide,
        sum / samples,
        largestNarrow,
        bound(plan, 0).chargeGapMillis());
  }
}
