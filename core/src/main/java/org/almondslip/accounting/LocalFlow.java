package org.almondslip.accounting;

import java.util.Set;
import org.almondslip.catalog.Flow;

/** Charges of one flow at one agent. */
final class LocalFlow {

  /** Factor by which older charges count less with each digest. */
  private static final double DECAY = 0.8;

  /** Factor by which older costs count less with each request. */
  private static final double HINT_DECAY = 0.95;

  /** The flow. */
  private final Flow flow;

  /** Number from 0 to 1 that moves the agent's offset within its place among the agents. */
  private final double jitter;

  /** Place of this agent among those that reach the flow. */
  private Reach reach = new Reach(1, 0);

  /** Targets for which the place was computed. */
  private Set<String> targets = Set.of();

  /** Charges that were not taken; negative when a settled charge was reduced. */
  private long newMicros;

  /** Charges that were taken and not counted. */
  private long takenMicros;

  /** Charges that were counted since the last digest. */
  private long countedMicros;

  /** Own charges in the recent past. */
  private double ownCharge;

  /** Charges of the fleet in the recent past. */
  private double fleetCharge;

  /** Expected costs of the requests that ended recently, in milliseconds. */
  private double hintedMillis;

  /** Costs of the requests that ended recently, in milliseconds. */
  private double spentMillis;

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
   * @param own the target of this agent
   */
  void reach(Set<String> newTargets, String own) {
    if (newTargets != targets) {
      targets = newTargets;
      reach = Reach.of(flow.id(), newTargets, own);
    }
  }

  /**
   * Changes the charge.
   *
   * @param micros the change, in microseconds divided by share
   */
  void charge(long micros) {
    newMicros += micros;
  }

  /**
   * Takes the charges since the last call, or nothing while they are negative.
   *
   * @return the charges, in microseconds divided by share
   */
  long take() {
    long taken = Math.max(0, newMicros);
    newMicros -= taken;
    takenMicros += taken;
    return taken;
  }

  /** Drops the charges taken so far, as the digest counts them. */
  void onCounted() {
    countedMicros += takenMicros;
    takenMicros = 0;
  }

  /**
   * Adds the charges between two digests to the recent past.
   *
   * @param fleetMicros the charges of the fleet, 0 when unknown
   */
  void measure(long fleetMicros) {
    if (fleetMicros > 0) {
      ownCharge = DECAY * ownCharge + countedMicros;
      fleetCharge = DECAY * fleetCharge + fleetMicros;
    }
    countedMicros = 0;
  }

  /**
   * Adds the cost of a request that ended.
   *
   * @param hintMillis the expected cost, in milliseconds
   * @param costMillis the cost, in milliseconds
   */
  void learn(long hintMillis, long costMillis) {
    hintedMillis = HINT_DECAY * hintedMillis + Math.max(1, hintMillis);
    spentMillis = HINT_DECAY * spentMillis + costMillis;
  }

  /**
   * Corrects an expected cost by what earlier requests of the flow cost.
   *
   * @param hintMillis the expected cost, in milliseconds
   * @return the corrected cost, in milliseconds
   */
  long expectedMillis(long hintMillis) {
    double ratio = hintedMillis > 0 ? spentMillis / hintedMillis : 1.0;
    return Math.max(1, Math.round(Math.max(1, hintMillis) * ratio));
  }

  /**
   * Estimates what the fleet charged to the flow on top of the digest.
   *
   * @param rule how the own charges are extrapolated
   * @param largestCostMicros the cost of the largest request, in microseconds
   * @return the charges with the offset of this agent, in microseconds divided by share
   */
  double sinceDigest(PortionRule rule, long largestCostMicros) {
    double portion = rule.portion(1.0 / reach.agents(), ownCharge, fleetCharge);
    double offset = reach.position(jitter) * largestCostMicros / flow.share();
    return (uncountedMicros() + offset) / portion;
  }

  /**
   * Returns the charges that no digest counts.
   *
   * @return the charges, in microseconds divided by share
   */
  long uncountedMicros() {
    return newMicros + takenMicros;
  }
}
