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
 * Claims idempotency keys in the table service.
 *
 * <p>The callbacks of the stores must run on the decision thread.
 */
public final class TableClaims implements Claims, ClaimAttempt.Listener {

  private final PeerIdentity self;

  private final ClaimTable table;

  /** Store of the bodies that exceed the inline limit. */
  private final ObjectStore objects;

  private final AgentLiveness liveness;

  private final ClaimLimits limits;

  private final Clock clock;

  private final ClaimCounters counters;

  /** Attempts that have not ended, with their result callbacks. */
  private final Map<ClaimAttempt, Consumer<ClaimResult>> attempts = new IdentityHashMap<>();

  /** Pending writes of answers. */
  private final RetryQueue completions;

  /** Pending releases of claims. */
  private final RetryQueue releases;

  /**
   * Creates claims without attempts or pending writes.
   *
   * @param self the identity of this agent
   * @param tables the tables that hold the claim records
   * @param objects the store of the bodies that exceed the inline limit
   * @param liveness the liveness of other agents
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
    this.completions = createQueue(Result.RECORDED, Result.RECORD_DROPPED);
    this.releases = createQueue(Result.RELEASED, Result.RELEASE_DROPPED);
  }

  @Override
  public void claim(Order order, Consumer<ClaimResult> callback) {
    ClaimRecord startedRecord =
        new ClaimRecord(
            order.identity(),
            order.fingerprint(),
            ClaimState.STARTED,
            self.instanceId(),
            self.incarnation(),
            clock.wallMillis() + order.deadlineMillis(),
            null);
    ClaimAttempt attempt =
        new ClaimAttempt(order, startedRecord, table, objects, liveness, limits, clock, this);
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

  /** Runs the retries that are due and ends the attempts that have timed out. */
  public void onTick() {
    List.copyOf(attempts.keySet()).forEach(ClaimAttempt::onTick);
    completions.onTick();
    releases.onTick();
  }

  /**
   * Returns whether no write is pending.
   *
   * @return true when the writes of all answers and releases are settled or dropped
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
  public void onUncertain(Order order, ClaimRecord startedRecord, long highestExpectedVersion) {
    releases.add(new ClaimRelease(table, order, startedRecord, highestExpectedVersion));
  }

  /**
   * Creates a queue of pending writes.
   *
   * @param settled the counter for settled writes
   * @param dropped the counter for dropped writes
   * @return the queue
   */
  private RetryQueue createQueue(Result settled, Result dropped) {
    return new RetryQueue(
        limits, clock, () -> counters.count(settled), () -> counters.count(dropped));
  }
}
