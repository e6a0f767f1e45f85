package org.almondslip.accounting;

import java.util.Set;
import org.almondslip.catalog.Flow;

/** Charges of one flow at one agent. */
final class LocalFlow {

  /** Factor by which older charges count less with each digest. */
  private static final double CHARGE_DECAY = 0.8;

  /** Factor by which older costs count less with each request. */
  private static final double COST_DECAY = 0.95;

  /** The flow. */
  private final Flow flow;

  /** Number from 0 to 1 that moves the agent's offset within its place among the agents. */
  private final double jitter;

  /** Place of this agent among those that reach the flow. */
  private AgentRank rank = new AgentRank(1, 0);

  /** Targets for which the place was computed. */
  private Set<String> targets = Set.of();

  /** Charges that were not drained; negative when a settled charge was reduced. */
  private long pendingMicros;

  /** Charges that were taken and not counted. */
  private long reportedMicros;

  /** Charges that were counted since the last digest. */
  private long countedMicros;

  /** Own charges in the recent past. */
  private double ownChargeMicros;

  /** Charges of the fleet in the recent past. */
  private double fleetChargeMicros;

  /** Expected costs of the requests that ended recently, in milliseconds. */
  private double estimatedCostMillis;

  /** Costs of the requests that ended recently, in milliseconds. */
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
   * Takes over the reach of the flow.
   *
   * @param newTargets the targets of the flow; compared by identity, as hashing all targets on each
   *     call would cost too much
   * @param ownTarget the target of this agent
   */
  void updateReach(Set<String> newTargets, String ownTarget) {
    if (newTargets != targets) {
      targets = newTargets;
      rank = AgentRank.of(flow.id(), newTargets, ownTarget);
    }
  }

  /**
   * Changes the charge.
   *
   * @param micros the change, in microseconds divided by share
   */
  void charge(long micros) {
    pendingMicros += micros;
  }

  /**
   * Takes the charges since the last call, or nothing while they are negative.
   *
   * @return the charges, in microseconds divided by share
   */
  long drain() {
    long drained = Math.max(0, pendingMicros);
    pendingMicros -= drained;
    reportedMicros += drained;
    return drained;
  }

  /** Drops the charges taken so far, as the digest counts them. */
  void onCounted() {
    countedMicros += reportedMicros;
    reportedMicros = 0;
  }

  /**
   * Adds the charges between two digests to the recent past.
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
   * Adds the cost of a request that ended.
   *
   * @param estimateMillis the expected cost, in milliseconds
   * @param costMillis the cost, in milliseconds
   */
  void recordCost(long estimateMillis, long costMillis) {
    estimatedCostMillis = COST_DECAY * estimatedCostMillis + Math.max(1, estimateMillis);
    actualCostMillis = COST_DECAY * actualCostMillis + costMillis;
  }

  /**
   * Corrects an expected cost by what earlier requests of the flow cost.
   *
   * @param estimateMillis the expected cost, in milliseconds
   * @return the corrected cost, in milliseconds
   */
  long expectedMillis(long estimateMillis) {
    double ratio = estimatedCostMillis > 0 ? actualCostMillis / estimatedCostMillis : 1.0;
    return Math.max(1, Math.round(Math.max(1, estimateMillis) * ratio));
  }

  /**
   * Estimates what the fleet charged to the flow on top of the digest.
   *
   * @param rule how the own charges are extrapolated
   * @param largestCostMicros the cost of the largest request, in microseconds
   * @return the charges with the offset of this agent, in microseconds divided by share
   */
  double estimateSinceDigest(PortionRule rule, long largestCostMicros) {
    double portion = rule.portion(1.0 / rank.agents(), ownChargeMicros, fleetChargeMicros);
    double offset = rank.position(jitter) * largestCostMicros / flow.share();
    return (uncountedMicros() + offset) / portion;
  }

  /**
   * Returns the charges that no digest counts.
   *
   * @return the charges, in microseconds divided by share
   */
  long uncountedMicros() {
    return pendingMicros + reportedMicros;
  }
}
