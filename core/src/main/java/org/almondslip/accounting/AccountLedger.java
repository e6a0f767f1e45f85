package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.catalog.Flow;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Accounts as one agent estimates them: the accounts of the last digest plus the own charges that
 * the digest does not count, divided by the own portion of the flow's service. An offset that
 * differs for each agent keeps the agents from choosing the same flow at once.
 */
public final class AccountLedger implements Accounts {

  /** Microseconds in a millisecond. */
  private static final long MICROS_PER_MILLI = 1_000L;

  /** How the own charges are extrapolated. */
  private final PortionRule rule;

  /** Target beside this agent. */
  private final String target;

  /** Flows and their reach. */
  private final FlowDirectory directory;

  /** Slot time of the largest request, in milliseconds. */
  private final long largestCostMillis;

  /** Source of the offsets. */
  private final UniformRandomProvider random;

  /** State of each flow that was charged or offered here. */
  private final Map<Integer, LocalFlow> localFlows = new HashMap<>();

  /** Charged requests that have not ended. */
  private final Map<Long, RunningRequest> running = new HashMap<>();

  /** Flows of the last digest. */
  private Map<Integer, FlowState> lastDigest = Map.of();

  /** Smallest account among the backlogged flows that reach the own target, in microseconds. */
  private long virtualTimeMicros;

  /**
   * Creates a ledger.
   *
   * @param rule how the own charges are extrapolated
   * @param target the target beside this agent
   * @param directory the flows and their reach
   * @param largestCostMillis the slot time of the largest request, in milliseconds
   * @param random the source of the offsets
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
   * Takes the charges since the last call. They count as own charges on top of the digest until
   * {@link #onCounted} is called. A flow whose charge was reduced below what was already taken is
   * skipped until new charges make up for it.
   *
   * @return the charges, in microseconds divided by share, by flow identity
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

  /** Drops the charges taken so far from the own charges, as the next digest counts them. */
  void onCounted() {
    localFlows.values().forEach(LocalFlow::onCounted);
  }

  /**
   * Replaces the accounts.
   *
   * @param states the state of each active flow by identity
   */
  void onDigest(Map<Integer, FlowState> states) {
    localFlows.forEach(
        (id, flow) -> {
          flow.updateReach(directory.targetsOf(id), target);
          FlowState before = lastDigest.get(id);
          FlowState after = states.get(id);
          // The account of a flow that was idle may rise by a lift, which is no service.
          boolean unknown = before == null || after == null || !before.backlogged();
          flow.recordInterval(unknown ? 0 : after.accountMicros() - before.accountMicros());
        });
    lastDigest = Map.copyOf(states);
    virtualTimeMicros =
        new VirtualTime(states, directory).atTarget(target).orElse(virtualTimeMicros);
  }

  /**
   * Returns the accounts of the last digest.
   *
   * @return the state of each active flow by identity
   */
  Map<Integer, FlowState> lastDigest() {
    return lastDigest;
  }

  /**
   * Returns the own charges that no digest counts.
   *
   * @param flowId the identity of the flow
   * @return the charges, in microseconds divided by share; negative when a request cost less than
   *     was reported when it started
   */
  long uncountedMicros(int flowId) {
    LocalFlow flow = localFlows.get(flowId);
    return flow == null ? 0 : flow.uncountedMicros();
  }

  /**
   * Returns the account of a flow without own charges. A flow that the digest does not show as
   * backlogged is at virtual time, so that it gets no credit for the time without work.
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
   * Sets the charge of a request.
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
   * Returns the state of a flow.
   *
   * @param flow the flow
   * @return the state, created when the flow is new
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

  /** Request that has been charged and has not ended. */
  private static final class RunningRequest {

    /** Flow of the request. */
    private final Flow flow;

    /** Expected slot time as given, in milliseconds. */
    private final long estimateMillis;

    /** Charge so far, in milliseconds of slot time. */
    private long chargedMillis;

    /**
     * Creates a request without charge.
     *
     * @param flow the flow of the request
     * @param estimateMillis the expected slot time as given, in milliseconds
     */
    private RunningRequest(Flow flow, long estimateMillis) {
      this.flow = flow;
      this.estimateMillis = estimateMillis;
    }
  }
}
