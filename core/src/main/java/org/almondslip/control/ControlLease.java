package org.almondslip.control;

import java.util.List;
import java.util.Optional;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.store.TableStore.Condition;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;
import org.almondslip.time.Clock;

/**
 * Lease on the control commands of one target, held by one agent at a time.
 *
 * <p>The holder counts its lease from the moment before it sent the write, by its own monotonic
 * clock. Another agent takes the lease over only after it has seen the same version of the row for
 * the whole duration, counted from the moment after it had read it. Whatever the delays, the first
 * span ends before the second one.
 *
 * <p>The callbacks of the store must run on the thread that calls the other methods.
 */
public final class ControlLease {

  /** Name of the table. */
  private static final String TABLE = "leases";

  /** Name of the target, which is the key of the row. */
  private final String target;

  /** Name of this agent, which no other incarnation has. */
  private final String holder;

  /** Times of the lease. */
  private final LeaseLimits limits;

  /** The platform's tables. */
  private final TableStore tables;

  /** Source of time. */
  private final Clock clock;

  /** Version of the row as last seen, -1 when it has not been seen. */
  private long version = -1;

  /** When this version was first seen, in milliseconds. */
  private long seenAt;

  /** When all commands of the last other holder have surely ended, in milliseconds. */
  private long otherQuietAt = Long.MIN_VALUE;

  /** Fencing token, 0 while the lease has not been held. */
  private long token;

  /** Until when the lease is held, in milliseconds. */
  private long expiresAt = Long.MIN_VALUE;

  /** When all commands of the holder before have surely ended, in milliseconds. */
  private long quietAt;

  /** When the next step is due, in milliseconds. */
  private long dueAt;

  /** Whether a call to the store is under way. */
  private boolean calling;

  /**
   * Creates a lease that is not held.
   *
   * @param target the name of the target
   * @param holder the name of this agent, which no other incarnation has
   * @param limits the times of the lease
   * @param tables the platform's tables
   * @param clock the source of time
   */
  public ControlLease(
      String target, String holder, LeaseLimits limits, TableStore tables, Clock clock) {
    this.target = target;
    this.holder = holder;
    this.limits = limits;
    this.tables = tables;
    this.clock = clock;
    this.dueAt = clock.millis();
  }

  /** Takes, renews or watches the lease when that is due. */
  public void onTick() {
    long now = clock.millis();
    if (calling || now < dueAt) {
      return;
    }
    calling = true;
    dueAt = now + limits.retryMillis();
    if (token > 0) {
      write(token);
    } else {
      tables.read(TABLE, target, this::onRead);
    }
  }

  /**
   * Returns whether this agent holds the lease.
   *
   * @return true while it is not expired by the own clock
   */
  public boolean isHeld() {
    return token > 0 && clock.millis() < expiresAt;
  }

  /**
   * Returns the fencing token.
   *
   * @return the token, 0 when the lease is not held
   */
  public long token() {
    return token;
  }

  /**
   * Returns until when the lease is held.
   *
   * @return the end by the monotonic clock, in milliseconds
   */
  long expiresAt() {
    return expiresAt;
  }

  /**
   * Returns when all commands of the holder before have surely ended.
   *
   * @return the moment by the monotonic clock, in milliseconds
   */
  long quietAt() {
    return quietAt;
  }

  /**
   * Goes on with the row as it was read.
   *
   * @param result the result of the read
   */
  private void onRead(StoreResult<Optional<Row>> result) {
    calling = false;
    if (!(result instanceof StoreResult.Success<Optional<Row>> success)) {
      return;
    }
    if (success.value().isEmpty()) {
      version = 0;
      calling = true;
      write(1);
    } else {
      observe(success.value().get());
    }
  }

  /**
   * Takes note of the row. A row of this agent that it did not know comes from a write whose answer
   * was lost. It is not known which one, so the lease is extended only by the next renewal.
   *
   * @param row the row
   */
  private void observe(Row row) {
    long now = clock.millis();
    LeaseRecord record = LeaseRecord.parse(row.value());
    if (row.version() != version) {
      version = row.version();
      seenAt = now;
    }
    if (record.holder().equals(holder)) {
      hold(record.token());
      dueAt = now;
      return;
    }
    token = 0;
    expiresAt = Long.MIN_VALUE;
    otherQuietAt = seenAt + record.durationMillis() + record.commandMillis();
    if (now - seenAt >= record.durationMillis()) {
      calling = true;
      write(record.token() + 1);
    }
  }

  /**
   * Writes the row for this agent.
   *
   * @param newToken the fencing token
   */
  private void write(long newToken) {
    long sentAt = clock.millis();
    LeaseRecord record =
        new LeaseRecord(holder, newToken, limits.durationMillis(), limits.commandMillis());
    tables.transact(
        new Transaction(
            List.of(new Condition(TABLE, target, version)),
            List.of(new Write(TABLE, target, Optional.of(record.toJson())))),
        result -> onWritten(newToken, sentAt, result));
  }

  /**
   * Goes on after a write.
   *
   * @param newToken the fencing token
   * @param sentAt when the write was sent, in milliseconds
   * @param result the result of the write
   */
  private void onWritten(long newToken, long sentAt, StoreResult<Outcome> result) {
    calling = false;
    if (!(result instanceof StoreResult.Success<Outcome> success)) {
      return;
    }
    if (success.value().applied()) {
      version++;
      hold(newToken);
      expiresAt = sentAt + limits.durationMillis();
      dueAt = sentAt + limits.renewMillis();
    } else if (success.value().conflicts().isEmpty()) {
      token = 0;
    } else {
      observe(success.value().conflicts().get(0));
    }
  }

  /**
   * Notes that the row names this agent.
   *
   * @param newToken the fencing token
   */
  private void hold(long newToken) {
    if (token != newToken) {
      quietAt = otherQuietAt;
    }
    token = newToken;
  }
}
