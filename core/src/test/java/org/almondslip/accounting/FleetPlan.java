package org.almondslip.accounting;

import org.almondslip.scheduling.Policy;

/** Configuration of a fleet of simulated agents. */
record FleetPlan(
    int agents,
    int dataCentres,
    int organisations,
    int slots,
    Reach reach,
    Policy policy,
    PortionRule rule,
    DigestSettings settings,
    long smallestCostMillis,
    long largestCostMillis,
    long delayMillis,
    long jitterMillis,
    double lost,
    double repeated,
    int waiting,
    long seed) {

  /** Plan from which tests and experiments derive theirs. */
  static final FleetPlan BASE =
      new FleetPlan(
          60,
          1,
          40,
          8,
          Reach.ALL,
          Policy.FAIR,
          PortionRule.REACH,
          DigestSettings.DEFAULT,
          10,
          100,
          2,
          2,
          0,
          0,
          1_000_000,
          1);

  FleetPlan withSize(int newAgents, int newDataCentres) {
    return new FleetPlan(
        newAgents,
        newDataCentres,
        organisations,
        slots,
        reach,
        policy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withOrganisations(int count) {
    return new FleetPlan(
        agents,
        dataCentres,
        count,
        slots,
        reach,
        policy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withReach(Reach newReach) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        newReach,
        policy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withPolicy(Policy newPolicy) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        newPolicy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withRule(PortionRule newRule) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        policy,
        newRule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withSettings(DigestSettings newSettings) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        policy,
        rule,
        newSettings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withCosts(long smallest, long largest) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        policy,
        rule,
        settings,
        smallest,
        largest,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        seed);
  }

  FleetPlan withNetwork(long delay, long jitter, double newLost, double newRepeated) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        policy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delay,
        jitter,
        newLost,
        newRepeated,
        waiting,
        seed);
  }

  FleetPlan withWaiting(int count) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        policy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        count,
        seed);
  }

  FleetPlan withSeed(long newSeed) {
    return new FleetPlan(
        agents,
        dataCentres,
        organisations,
        slots,
        reach,
        policy,
        rule,
        settings,
        smallestCostMillis,
        largestCostMillis,
        delayMillis,
        jitterMillis,
        lost,
        repeated,
        waiting,
        newSeed);
  }

  long meanCostMillis() {
    return (smallestCostMillis + largestCostMillis) / 2;
  }

  /** Which organisations may use which agents. */
  enum Reach {
    /** All organisations use all agents. */
    ALL {
      @Override
      boolean reaches(int organisation, int agent, FleetPlan plan) {
        return true;
      }
    },
    /** All organisations may use all agents, but each is offered to a quarter of them. */
    OFFERED {
      @Override
      boolean reaches(int organisation, int agent, FleetPlan plan) {
        return true;
      }

      @Override
      boolean offers(int organisation, int agent, FleetPlan plan) {
        return (organisation * 7 + agent * 5) % 4 == 0;
      }
    },
    /** Half of the organisations use half of the agents, the others use all. */
    HALF {
      @Override
      boolean reaches(int organisation, int agent, FleetPlan plan) {
        return organisation < plan.organisations() / 2 || agent < plan.agents() / 2;
      }
    };

    abstract boolean reaches(int organisation, int agent, FleetPlan plan);

    boolean offers(int organisation, int agent, FleetPlan plan) {
      return reaches(organisation, agent, plan);
    }
  }
}
