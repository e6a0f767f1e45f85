package org.almondslip.accounting;

import java.util.Set;
import org.almondslip.catalog.Flow;

/** Tracks the charges of one flow at one agent. */
final class LocalFlow {

  /** Factor by which older charges are weighted down with each digest. */
  private static final double CHARGE_DECAY = 0.8;

  /** Factor by which older costs are weighted down with each request. */
  private static final double COST_DECAY = 0.95;

  private final Flow flow;

  /** Random number from 0 to 1 that shifts the offset within the rank of this agent. */
  private final double jitter;

  /** Rank of this agent among those that reach the flow. */
  private AgentRank rank = new AgentRank(1, 0);

  /** Targets for which the rank was computed. */
  private Set<String> targets = Set.of();

  /** Charges not drained yet; negative when a charge was reduced after it was drained. */
  private long pendingMicros;

  /** Charges that were drained and are not contained in a digest. */
  private long reportedMicros;

  /** Charges contained in the digest that will be applied next. */
  private long countedMicros;

  /** Weighted sum of the charges of this agent. */
  private double ownChargeMicros;

  /** Weighted sum of the charges of the fleet. */
  private double fleetChargeMicros;

  /** Weighted sum of the expected costs of ended requests. */
  private double estimatedCostMillis;

  /** Weighted sum of the actual costs of ended requests. */
  private double actualCostMillis;

  /**
   * Creates a flow without charges.
   *
   * @param flow the flow
   * @param jitter a random number from 0 to 1
   */
  LocalFlow(Flow flow, double jitter) {
    this.flow = flow;
    this.jitter = jitter;
  }

  /**
   * Updates the targets that the flow reaches.
   *
   * @param newTargets the targets of the flow; compared by identity, because hashing all targets on
   *     each call is too expensive
   * @param ownTarget the target that this agent serves
   */
  void updateReach(Set<String> newTargets, String ownTarget) {
    if (newTargets != targets) {
      targets = newTargets;
      rank = AgentRank.of(flow.id(), newTargets, ownTarget);
    }
  }

  /**
   * Adds a charge.
   *
   * @param micros the charge, in microseconds divided by share; negative to reduce earlier ones
   */
  void charge(long micros) {
    pendingMicros += micros;
  }

  /**
   * Returns the charges since the last call, or 0 while they are negative.
   *
   * @return the charges, in microseconds divided by share
   */
  long drain() {
    long drained = Math.max(0, pendingMicros);
    pendingMicros -= drained;
    reportedMicros += drained;
    return drained;
  }

  /** Marks all drained charges as contained in the next digest. */
  void onCounted() {
    countedMicros += reportedMicros;
    reportedMicros = 0;
  }

  /**
   * Records the charges between two digests.
   *
   * @param fleetMicros the charges of the fleet, 0 when unknown
   */
  void recordInterval(long fleetMicros) {
    if (fleetMicros > 0) {
      ownChargeMicros = CHARGE_DECAY * ownChargeMicros + countedMicros;
      fleetChargeMicros = CHARGE_DECAY * fleetChargeMicros + fleetMicros;
    }
    countedMicros = 0;
  }

  /**
   * Records the cost of a request that ended.
   *
   * @param estimateMillis the expected cost, in milliseconds
   * @param costMillis the actual cost, in milliseconds
   */
  void recordCost(long estimateMillis, long costMillis) {
    estimatedCostMillis = COST_DECAY * estimatedCostMillis + Math.max(1, estimateMillis);
    actualCostMillis = COST_DECAY * actualCostMillis + costMillis;
  }

  /**
   * Corrects an expected cost by the ratio of actual to expected cost of earlier requests.
   *
   * @param estimateMillis the expected cost, in milliseconds
   * @return the corrected cost, in milliseconds, at least 1
   */
  long expectedMillis(long estimateMillis) {
    double ratio = estimatedCostMillis > 0 ? actualCostMillis / estimatedCostMillis : 1.0;
    return Math.max(1, Math.round(Math.max(1, estimateMillis) * ratio));
  }

  /**
   * Estimates the charges of the fleet that the last digest does not contain.
   *
   * @param rule the rule that extrapolates local charges to the fleet
   * @param largestCostMicros the cost of the largest request, in microseconds
   * @return the charges including the offset of this agent, in microseconds divided by share
   */
  double estimateSinceDigest(PortionRule rule, long largestCostMicros) {
    double portion = rule.portion(1.0 / rank.agents(), ownChargeMicros, fleetChargeMicros);
    double offset = rank.position(jitter) * largestCostMicros / flow.share();
    return (uncountedMicros() + offset) / portion;
  }

  /**
   * Returns the local charges that no digest contains.
   *
   * @return the charges, in microseconds divided by share
   */
  long uncountedMicros() {
    return pendingMicros + reportedMicros;
  }
}
