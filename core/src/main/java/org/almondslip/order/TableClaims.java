package org.almondslip.order;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.ClaimCounters.Result;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;

/**
 * Claims of idempotency keys in the table service.
 *
 * <p>The callbacks of the stores must run on the decision thread.
 */
public final class TableClaims implements Claims, ClaimAttempt.Listener {

  /** This agent. */
  private final PeerIdentity self;

  /** Table of claim records. */
  private final ClaimTable table;

  /** Store of large bodies. */
  private final ObjectStore objects;

  /** Life of other agents. */
  private final AgentLiveness liveness;

  /** Limits of claims. */
  private final ClaimLimits limits;

  /** Source of time. */
  private final Clock clock;

  /** Counters of claims. */
  private final ClaimCounters counters;

  /** Attempts that have not ended, with the receivers of their results. */
  private final Map<ClaimAttempt, Consumer<ClaimResult>> attempts = new IdentityHashMap<>();

  /** Answers that are not recorded yet. */
  private final RetryQueue completions;

  /** Claims that are not released yet. */
  private final RetryQueue releases;

  /**
   * Creates claims.
   *
   * @param self this agent
   * @param tables the platform's tables
   * @param objects the store of large bodies
   * @param liveness the life of other agents
   * @param limits the limits of claims
   * @param clock the source of time
   * @param counters the counters of claims
   */
  public TableClaims(
      PeerIdentity self,
      TableStore tables,
      ObjectStore objects,
      AgentLiveness liveness,
      ClaimLimits limits,
      Clock clock,
      ClaimCounters counters) {
    this.self = self;
    this.table = new ClaimTable(tables);
    this.objects = objects;
    this.liveness = liveness;
    this.limits = limits;
    this.clock = clock;
    this.counters = counters;
    this.completions = queue(Result.RECORDED, Result.RECORD_DROPPED);
    this.releases = queue(Result.RELEASED, Result.RELEASE_DROPPED);
  }

  @Override
  public void claim(Order order, Consumer<ClaimResult> callback) {
    ClaimRecord started =
        new ClaimRecord(
            order.identity(),
            order.fingerprint(),
            ClaimState.STARTED,
            self.instanceId(),
            self.incarnation(),
            clock.wallMillis() + order.deadlineMillis(),
            null);
    ClaimAttempt attempt =
        new ClaimAttempt(order, started, table, objects, liveness, limits, clock, this);
    attempts.put(attempt, callback);
    attempt.start();
  }

  @Override
  public void complete(Claim claim, Optional<StoredAnswer> answer) {
    completions.add(new ClaimCompletion(table, objects, claim, answer, limits.inlineBytes()));
  }

  @Override
  public void release(Claim claim) {
    onUncertain(claim.order(), claim.record(), claim.version() - 1);
  }

  /** Does what is due: retries and the end of attempts that took too long. */
  public void onTick() {
    List.copyOf(attempts.keySet()).forEach(ClaimAttempt::onTick);
    completions.onTick();
    releases.onTick();
  }

  /**
   * Returns whether no write waits for the store.
   *
   * @return true when every answer is recorded and every release is settled
   */
  public boolean isSettled() {
    return completions.size() == 0 && releases.size() == 0;
  }

  @Override
  public void onEnd(ClaimAttempt attempt, ClaimResult result) {
    if (result instanceof ClaimResult.Refused refused) {
      counters.count(Result.ofRefusal(refused.code()));
    } else {
      counters.count(result instanceof ClaimResult.Replay ? Result.REPLAYED : Result.GRANTED);
    }
    attempts.remove(attempt).accept(result);
  }

  @Override
  public void onUncertain(Order order, ClaimRecord started, long triedVersion) {
    releases.add(new ClaimRelease(table, order, started, triedVersion));
  }

  /**
   * Creates a queue of writes.
   *
   * @param settled the counter of settled writes
   * @param dropped the counter of writes that were given up
   * @return the queue
   */
  private RetryQueue queue(Result settled, Result dropped) {
    return new RetryQueue(
        limits, clock, () -> counters.count(settled), () -> counters.count(dropped));
  }
}
