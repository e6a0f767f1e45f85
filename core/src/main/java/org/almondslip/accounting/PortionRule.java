package org.almondslip.accounting;

/** How an agent extrapolates the service of a flow in the fleet from its own charges. */
public enum PortionRule {
  /**
   * Counts only the own charges. All agents choose the same flow until the next digest, so the gap
   * grows to capacity times delay; used as a baseline in experiments.
   */
  NONE {
    @Override
    double portion(double initial, double ownCharge, double fleetCharge) {
      return 1.0;
    }
  },
  /**
   * Assumes that all agents that reach the flow charge it as this agent does. This is the rule to
   * use: the bound holds for it, and its gap was the smallest in the runs of docs/fairness.md.
   */
  REACH {
    @Override
    double portion(double initial, double ownCharge, double fleetCharge) {
      return initial;
    }
  },
  /**
   * Uses the own part of the charges in the recent past. The gap is larger than with equal portions
   * and sometimes jumps, because a small portion makes single requests weigh more; used as a
   * baseline in experiments.
   */
  MEASURED {
    @Override
    double portion(double initial, double ownCharge, double fleetCharge) {
      double measured = fleetCharge <= 0 ? initial : ownCharge / fleetCharge;
      return Math.min(1.0, Math.max(initial / MAX_REDUCTION_FACTOR, measured));
    }
  };

  /**
   * How far a measured portion may fall below the initial one. With a smaller portion, one request
   * would outweigh minutes of service elsewhere.
   */
  private static final double MAX_REDUCTION_FACTOR = 4.0;

  /**
   * Returns the part of a flow's charges in the fleet that comes from this agent.
   *
   * @param initial the inverse of the number of agents that reach the flow
   * @param ownCharge the own charges in the recent past
   * @param fleetCharge the charges in the fleet in the same time
   * @return the portion, above 0 and at most 1
   */
  abstract double portion(double initial, double ownCharge, double fleetCharge);
}
