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
 * Lease that allows one agent at a time to send control commands to a target.
 *
 * <p>The holder measures its lease on its own monotonic clock, starting before it sends the write.
 * Another agent takes over only after the row version has stayed unchanged for the whole duration,
 * starting after the read that returned it. The holder's period therefore ends first, regardless of
 * message delays.
 *
 * <p>Not thread-safe; the callbacks of the store must run on the thread that calls the methods.
 */
public final class ControlLease {

  private static final String TABLE = "leases";

  /** Name of the target and key of the row. */
  private final String target;

  /** Name of this agent, unique to its incarnation. */
  private final String holder;

  private final LeaseLimits limits;

  private final TableStore tables;

  private final Clock clock;

  /** Last known version of the row: 0 if the row does not exist, -1 before the first read. */
  private long version = -1;

  /** Monotonic time at which this version was first seen, in milliseconds. */
  private long versionSeenAt;

  /** Monotonic time by which all commands of the last other holder have ended, in milliseconds. */
  private long otherCommandsEndAt = Long.MIN_VALUE;

  /** Fencing token, 0 while the row does not name this agent. */
  private long token;

  /** Monotonic time at which the lease expires, in milliseconds. */
  private long expiresAt = Long.MIN_VALUE;

  /** Monotonic time by which all commands of the previous holder have ended, in milliseconds. */
  private long previousCommandsEndAt;

  /** Monotonic time of the next read or write of the row, in milliseconds. */
  private long nextStepAt;

  /** Whether a store call is outstanding. */
  private boolean callPending;

  /**
   * Creates a lease that is not held.
   *
   * @param target the name of the target
   * @param holder the name of this agent, unique to its incarnation
   * @param limits the durations of the lease
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
    this.nextStepAt = clock.millis();
  }

  /** Acquires, renews or checks the lease if the next step is due and no call is outstanding. */
  public void onTick() {
    long now = clock.millis();
    if (callPending || now < nextStepAt) {
      return;
    }
    callPending = true;
    nextStepAt = now + limits.retryMillis();
    if (token > 0) {
      write(token);
    } else {
      tables.read(TABLE, target, this::onRead);
    }
  }

  /**
   * Returns whether this agent holds the lease.
   *
   * @return true if the lease has not expired on this agent's clock
   */
  public boolean isHeld() {
    return token > 0 && clock.millis() < expiresAt;
  }

  /**
   * Returns the fencing token, which stays set after the lease has expired on this agent's clock.
   *
   * @return the token, 0 if the last known row does not name this agent
   */
  public long token() {
    return token;
  }

  /**
   * Returns the time at which the lease expires.
   *
   * @return the monotonic time in milliseconds
   */
  long expiresAt() {
    return expiresAt;
  }

  /**
   * Returns the time by which all commands of the previous holder have ended.
   *
   * @return the monotonic time in milliseconds
   */
  long previousCommandsEndAt() {
    return previousCommandsEndAt;
  }

  /**
   * Creates the row if it does not exist, otherwise evaluates it. A failed read is retried later.
   *
   * @param result the result of the read
   */
  private void onRead(StoreResult<Optional<Row>> result) {
    callPending = false;
    if (!(result instanceof StoreResult.Success<Optional<Row>> success)) {
      return;
    }
    if (success.value().isEmpty()) {
      version = 0;
      callPending = true;
      write(1);
    } else {
      onRow(success.value().get());
    }
  }

  /**
   * Evaluates the current row and takes the lease over if it has expired.
   *
   * <p>An unknown version that names this agent stems from a write whose response was lost. Since
   * the send time of that write is not known, only the next renewal extends the lease.
   *
   * @param row the current row
   */
  private void onRow(Row row) {
    long now = clock.millis();
    LeaseRecord record = LeaseRecord.parse(row.value());
    if (row.version() != version) {
      version = row.version();
      versionSeenAt = now;
    }
    if (record.holder().equals(holder)) {
      adoptToken(record.token());
      nextStepAt = now;
      return;
    }
    token = 0;
    expiresAt = Long.MIN_VALUE;
    otherCommandsEndAt = versionSeenAt + record.durationMillis() + record.commandMillis();
    if (now - versionSeenAt >= record.durationMillis()) {
      callPending = true;
      write(record.token() + 1);
    }
  }

  /**
   * Writes a row that names this agent, provided that the version is unchanged.
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
   * Handles the result of a write. After an unknown result the state is kept until the next step.
   *
   * @param newToken the fencing token
   * @param sentAt the monotonic time at which the write was sent, in milliseconds
   * @param result the result of the write
   */
  private void onWritten(long newToken, long sentAt, StoreResult<Outcome> result) {
    callPending = false;
    if (!(result instanceof StoreResult.Success<Outcome> success)) {
      return;
    }
    if (success.value().applied()) {
      version++;
      adoptToken(newToken);
      expiresAt = sentAt + limits.durationMillis();
      nextStepAt = sentAt + limits.renewMillis();
    } else if (success.value().conflicts().isEmpty()) {
      token = 0;
    } else {
      onRow(success.value().conflicts().get(0));
    }
  }

  /**
   * Records that the row names this agent.
   *
   * @param newToken the fencing token
   */
  private void adoptToken(long newToken) {
    if (token != newToken) {
      previousCommandsEndAt = otherCommandsEndAt;
    }
    token = newToken;
  }
}
