package org.almondslip.accounting;

/** Rule by which an agent extrapolates its charges for a flow to the whole fleet. */
public enum PortionRule {
  /**
   * Counts only the local charges. All agents select the same flow until the next digest, so the
   * gap grows to capacity times delay. Used as a baseline in experiments.
   */
  NONE {
    @Override
    double portion(double initial, double ownCharge, double fleetCharge) {
      return 1.0;
    }
  },
  /**
   * Assumes that all agents that reach the flow charge it equally. This is the recommended rule:
   * the bound holds for it, and its gap is the smallest in the measurements in docs/fairness.md.
   */
  REACH {
    @Override
    double portion(double initial, double ownCharge, double fleetCharge) {
      return initial;
    }
  },
  /**
   * Uses the measured portion of recent charges. The gap is larger than with equal portions and
   * sometimes jumps, because a small portion amplifies the weight of single requests. Used as a
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
   * Largest factor by which a measured portion may fall below the initial one. With a smaller
   * portion, one request would outweigh minutes of service at other agents.
   */
  private static final double MAX_REDUCTION_FACTOR = 4.0;

  /**
   * Returns the portion of a flow's charges in the fleet that this agent contributes.
   *
   * @param initial the inverse of the number of agents that reach the flow
   * @param ownCharge the recent charges of this agent
   * @param fleetCharge the charges of the fleet in the same period
   * @return the portion, above 0 and at most 1
   */
  abstract double portion(double initial, double ownCharge, double fleetCharge);
}
