package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.catalog.Flow;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Estimates the accounts of all flows at one agent.
 *
 * <p>An estimate is the account in the last digest plus the service that the fleet is assumed to
 * have added since: the local charges that the digest does not contain, divided by the portion of
 * the flow's service that this agent provides. A per-agent offset is added to the local charges, so
 * that the agents do not all select the same flow between two digests.
 */
public final class AccountLedger implements Accounts {

  private static final long MICROS_PER_MILLI = 1_000L;

  /** Rule that extrapolates local charges to the fleet. */
  private final PortionRule rule;

  /** Name of the target that this agent serves. */
  private final String target;

  private final FlowDirectory directory;

  /** Slot time of the largest request, in milliseconds. */
  private final long largestCostMillis;

  /** Generator of the offsets' jitter. */
  private final UniformRandomProvider random;

  /** Charges of the flows that were charged or estimated here, by flow identity. */
  private final Map<Integer, LocalFlow> localFlows = new HashMap<>();

  /** Requests that have been charged and not settled, by token. */
  private final Map<Long, RunningRequest> running = new HashMap<>();

  /** Flow states of the last digest, by flow identity. */
  private Map<Integer, FlowState> lastDigest = Map.of();

  /** Virtual time at the target of this agent, in microseconds. */
  private long virtualTimeMicros;

  /**
   * Creates a ledger without charges and without a digest.
   *
   * @param rule the rule that extrapolates local charges to the fleet
   * @param target the name of the target that this agent serves
   * @param directory the reach of each flow
   * @param largestCostMillis the slot time of the largest request, in milliseconds
   * @param random the generator of the offsets' jitter
   */
  public AccountLedger(
      PortionRule rule,
      String target,
      FlowDirectory directory,
      long largestCostMillis,
      UniformRandomProvider random) {
    this.rule = rule;
    this.target = target;
    this.directory = directory;
    this.largestCostMillis = largestCostMillis;
    this.random = random;
  }

  @Override
  public void start(long token, Flow flow, long estimateMillis) {
    RunningRequest request = new RunningRequest(flow, estimateMillis);
    if (running.putIfAbsent(token, request) == null) {
      long expected = localFlow(flow).expectedMillis(estimateMillis);
      charge(request, Math.min(largestCostMillis, expected));
    }
  }

  @Override
  public void progress(long token, long elapsedMillis) {
    RunningRequest request = running.get(token);
    if (request != null) {
      charge(request, Math.max(request.chargedMillis, elapsedMillis));
    }
  }

  @Override
  public void settle(long token, long costMillis) {
    RunningRequest request = running.remove(token);
    if (request != null) {
      charge(request, costMillis);
      if (costMillis > 0) {
        localFlow(request.flow).recordCost(request.estimateMillis, costMillis);
      }
    }
  }

  @Override
  public long estimateMicros(Flow flow) {
    long largestCostMicros = largestCostMillis * MICROS_PER_MILLI;
    return accountMicros(flow.id())
        + Math.round(localFlow(flow).estimateSinceDigest(rule, largestCostMicros));
  }

  /**
   * Returns the charges since the last call. They remain part of the estimates until {@link
   * #onCounted} is called. A flow whose charges were reduced below the amount already returned is
   * omitted until new charges exceed the difference.
   *
   * @return the positive charges, in microseconds divided by share, by flow identity
   */
  Map<Integer, Long> drainCharges() {
    Map<Integer, Long> drained = new HashMap<>();
    localFlows.forEach(
        (id, flow) -> {
          long micros = flow.drain();
          if (micros > 0) {
            drained.put(id, micros);
          }
        });
    return drained;
  }

  /** Removes all drained charges from the estimates, because the next digest contains them. */
  void onCounted() {
    localFlows.values().forEach(LocalFlow::onCounted);
  }

  /**
   * Replaces the accounts by those of a new digest.
   *
   * @param states the state of each active flow by identity
   */
  void onDigest(Map<Integer, FlowState> states) {
    localFlows.forEach(
        (id, flow) -> {
          flow.updateReach(directory.targetsOf(id), target);
          FlowState before = lastDigest.get(id);
          FlowState after = states.get(id);
          // A lift may raise the account of a previously idle flow without any service.
          boolean unknown = before == null || after == null || !before.backlogged();
          flow.recordInterval(unknown ? 0 : after.accountMicros() - before.accountMicros());
        });
    lastDigest = Map.copyOf(states);
    virtualTimeMicros =
        new VirtualTime(states, directory).atTarget(target).orElse(virtualTimeMicros);
  }

  /**
   * Returns the flow states of the last digest.
   *
   * @return the state of each active flow by identity; empty before the first digest
   */
  Map<Integer, FlowState> lastDigest() {
    return lastDigest;
  }

  /**
   * Returns the local charges that no digest contains.
   *
   * @param flowId the identity of the flow
   * @return the charges, in microseconds divided by share; negative when a request cost less than
   *     the charge already reported for it
   */
  long uncountedMicros(int flowId) {
    LocalFlow flow = localFlows.get(flowId);
    return flow == null ? 0 : flow.uncountedMicros();
  }

  /**
   * Returns the account of a flow without local charges. A flow that is not backlogged in the last
   * digest is raised to virtual time, so that it accumulates no credit while idle.
   *
   * @param flowId the identity of the flow
   * @return the account, in microseconds
   */
  private long accountMicros(int flowId) {
    FlowState state = lastDigest.get(flowId);
    if (state == null) {
      return virtualTimeMicros;
    }
    return state.backlogged()
        ? state.accountMicros()
        : Math.max(state.accountMicros(), virtualTimeMicros);
  }

  /**
   * Sets the charge of a request and applies the difference to its flow.
   *
   * @param request the request
   * @param millis the charge, in milliseconds of slot time
   */
  private void charge(RunningRequest request, long millis) {
    long change = (millis - request.chargedMillis) * MICROS_PER_MILLI;
    request.chargedMillis = millis;
    localFlow(request.flow).charge(change / request.flow.share());
  }

  /**
   * Returns the local charges of a flow and creates them on first use.
   *
   * @param flow the flow
   * @return the local charges
   */
  private LocalFlow localFlow(Flow flow) {
    LocalFlow known = localFlows.get(flow.id());
    if (known != null) {
      return known;
    }
    LocalFlow created = new LocalFlow(flow, random.nextDouble());
    created.updateReach(directory.targetsOf(flow.id()), target);
    localFlows.put(flow.id(), created);
    return created;
  }

  /** Request that has been charged and not settled. */
  private static final class RunningRequest {

    private final Flow flow;

    /** Expected slot time before correction, in milliseconds. */
    private final long estimateMillis;

    /** Charge so far, in milliseconds of slot time. */
    private long chargedMillis;

    /**
     * Creates a request with a charge of zero.
     *
     * @param flow the flow of the request
     * @param estimateMillis the expected slot time before correction, in milliseconds
     */
    private RunningRequest(Flow flow, long estimateMillis) {
      this.flow = flow;
      this.estimateMillis = estimateMillis;
    }
  }
}
