package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.function.ToIntFunction;
import org.almondslip.catalog.Flow;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Accounts as one agent estimates them: the accounts of the last digest plus the own charges that
 * the digest does not count, divided by the own portion of the flow's service.
 */
public final class AccountLedger implements Accounts {

  /** Microseconds in a millisecond. */
  private static final long MICROS_PER_MILLI = 1_000L;

  /** Factor by which older charges count less with each digest when a portion is measured. */
  private static final double DECAY = 0.8;

  /** How the own charges are extrapolated. */
  private final PortionRule rule;

  /** Number of agents that reach a flow. */
  private final ToIntFunction<Flow> agentsInReach;

  /** Flows by identity. */
  private final IntFunction<Optional<Flow>> flows;

  /** Cost of the largest request, in microseconds. */
  private final long largestCostMicros;

  /** Source of the offsets. */
  private final UniformRandomProvider random;

  /** State of each flow that was charged here. */
  private final Map<Integer, LocalFlow> local = new HashMap<>();

  /** Charged requests that have not ended. */
  private final Map<Long, Running> running = new HashMap<>();

  /** Flows of the last digest. */
  private Map<Integer, FlowState> digest = Map.of();

  /** Smallest account among the backlogged flows of each pool, never decreasing. */
  private final Map<String, Long> virtualTimes = new HashMap<>();

  /**
   * Creates a ledger.
   *
   * @param rule how the own charges are extrapolated
   * @param agentsInReach the number of agents that reach a flow
   * @param flows the flows by identity
   * @param largestCostMillis the slot time of the largest request, in milliseconds
   * @param random the source of the offsets
   */
  public AccountLedger(
      PortionRule rule,
      ToIntFunction<Flow> agentsInReach,
      IntFunction<Optional<Flow>> flows,
      long largestCostMillis,
      UniformRandomProvider random) {
    this.rule = rule;
    this.agentsInReach = agentsInReach;
    this.flows = flows;
    this.largestCostMicros = largestCostMillis * MICROS_PER_MILLI;
    this.random = random;
  }

  @Override
  public void start(long token, Flow flow, long estimateMillis) {
    Running request = new Running(flow);
    if (running.putIfAbsent(token, request) == null) {
      charge(request, estimateMillis * MICROS_PER_MILLI / flow.share());
    }
  }

  @Override
  public void progress(long token, long elapsedMillis) {
    Running request = running.get(token);
    if (request != null) {
      long cost = elapsedMillis * MICROS_PER_MILLI / request.flow.share();
      charge(request, Math.max(request.chargedMicros, cost));
    }
  }

  @Override
  public void settle(long token, long costMillis) {
    Running request = running.remove(token);
    if (request != null) {
      charge(request, costMillis * MICROS_PER_MILLI / request.flow.share());
    }
  }

  @Override
  public long estimateMicros(Flow flow) {
    LocalFlow own = local(flow);
    double extrapolated = own.uncountedMicros() / own.portion();
    return accountMicros(flow) + Math.round(extrapolated + own.offset * offsetRange(flow, own));
  }

  /**
   * Takes the charges since the last call. They count as own charges on top of the digest until
   * {@link #onCounted} is called. A flow whose charge was reduced below what was already taken is
   * skipped until new charges make up for it.
   *
   * @return the charges, in microseconds divided by share, by flow identity
   */
  Map<Integer, Long> takeCharges() {
    Map<Integer, Long> taken = new HashMap<>();
    for (Map.Entry<Integer, LocalFlow> entry : local.entrySet()) {
      LocalFlow own = entry.getValue();
      if (own.newMicros > 0) {
        taken.put(entry.getKey(), own.newMicros);
        own.takenMicros += own.newMicros;
        own.newMicros = 0;
      }
    }
    return taken;
  }

  /** Drops the charges taken so far from the own charges, as the next digest counts them. */
  void onCounted() {
    for (LocalFlow own : local.values()) {
      own.countedMicros += own.takenMicros;
      own.takenMicros = 0;
    }
  }

  /**
   * Replaces the accounts.
   *
   * @param states the state of each active flow by identity
   */
  void onDigest(Map<Integer, FlowState> states) {
    for (Map.Entry<Integer, LocalFlow> entry : local.entrySet()) {
      FlowState before = digest.get(entry.getKey());
      FlowState after = states.get(entry.getKey());
      boolean lifted = before == null || after == null || !before.backlogged();
      entry.getValue().measure(lifted ? 0 : after.accountMicros() - before.accountMicros());
    }
    digest = Map.copyOf(states);
    VirtualTime.ofPools(states, flows)
        .forEach((pool, time) -> virtualTimes.merge(pool, time, Math::max));
  }

  /**
   * Returns the account of a flow without own charges. A flow that the digest does not show as
   * backlogged is at virtual time, so that it gets no credit for the time without work.
   *
   * @param flow the flow
   * @return the account, in microseconds
   */
  private long accountMicros(Flow flow) {
    FlowState state = digest.get(flow.id());
    long virtualTime = virtualTimes.getOrDefault(flow.pool(), 0L);
    if (state == null) {
      return virtualTime;
    }
    return state.backlogged()
        ? state.accountMicros()
        : Math.max(state.accountMicros(), virtualTime);
  }

  /**
   * Returns the largest offset of a flow.
   *
   * @param flow the flow
   * @param own the state of the flow
   * @return the offset, in microseconds divided by share
   */
  private double offsetRange(Flow flow, LocalFlow own) {
    return largestCostMicros / own.portion() / flow.share();
  }

  /**
   * Sets the charge of a request.
   *
   * @param request the request
   * @param micros the charge, in microseconds divided by share
   */
  private void charge(Running request, long micros) {
    local(request.flow).newMicros += micros - request.chargedMicros;
    request.chargedMicros = micros;
  }

  /**
   * Returns the state of a flow.
   *
   * @param flow the flow
   * @return the state, created when the flow is new
   */
  private LocalFlow local(Flow flow) {
    return local.computeIfAbsent(flow.id(), id -> new LocalFlow(flow, random.nextDouble()));
  }

  /** Request that has been charged and has not ended. */
  private static final class Running {

    /** Flow of the request. */
    private final Flow flow;

    /** Charge so far, in microseconds divided by share. */
    private long chargedMicros;

    /**
     * Creates a request without charge.
     *
     * @param flow the flow of the request
     */
    private Running(Flow flow) {
      this.flow = flow;
    }
  }

  /** Own charges of a flow. */
  private final class LocalFlow {

    /** The flow. */
    private final Flow flow;

    /** Random number between 0 and 1 that keeps the agents from choosing in lockstep. */
    private final double offset;

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

    /**
     * Creates a flow without charges.
     *
     * @param flow the flow
     * @param offset a random number between 0 and 1
     */
    private LocalFlow(Flow flow, double offset) {
      this.flow = flow;
      this.offset = offset;
    }

    /**
     * Returns the charges that the last digest does not count.
     *
     * @return the charges, in microseconds divided by share
     */
    private long uncountedMicros() {
      return newMicros + takenMicros;
    }

    /**
     * Returns the own part of the flow's service in the fleet.
     *
     * @return the portion, above 0 and at most 1
     */
    private double portion() {
      double initial = 1.0 / Math.max(1, agentsInReach.applyAsInt(flow));
      return rule.portion(initial, ownCharge, fleetCharge);
    }

    /**
     * Adds the charges between two digests to the recent past.
     *
     * @param fleetMicros the charges of the fleet, 0 when unknown
     */
    private void measure(long fleetMicros) {
      if (fleetMicros > 0) {
        ownCharge = DECAY * ownCharge + countedMicros;
        fleetCharge = DECAY * fleetCharge + fleetMicros;
      }
      countedMicros = 0;
    }
  }
}
