package org.almondslip.order;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.time.Clock;

/**
 * State machine that claims one idempotency key.
 *
 * <p>It inserts the record. When the answer of the write is lost, it reads the record back and
 * compares identities. It ends after a limited time with a refusal that says "not run", which is
 * true because the call is sent only after a claim was granted.
 */
final class ClaimAttempt {

  /** Order to claim. */
  private final Order order;

  /** Record that claims the key. */
  private final ClaimRecord started;

  /** Table of claim records. */
  private final ClaimTable table;

  /** Store of large bodies. */
  private final ObjectStore objects;

  /** Life of other agents. */
  private final AgentLiveness liveness;

  /** Source of time. */
  private final Clock clock;

  /** Receiver of the end. */
  private final Listener listener;

  /** When the attempt is given up, in milliseconds. */
  private final long expiresAt;

  /** Delay before a retry, in milliseconds. */
  private final long retryMillis;

  /** Highest version that a write whose outcome is not known expected; -1 when there is none. */
  private long uncertainVersion = -1;

  /** What is tried again when the delay has passed. */
  private Optional<Runnable> retry = Optional.empty();

  /** When the retry is due, in milliseconds. */
  private long retryAt;

  /** Whether an order under this key is known to have run. */
  private Ran ran = Ran.NO;

  /** Whether the attempt has ended. */
  private boolean ended;

  /** Receiver of the end of an attempt. */
  interface Listener {

    /**
     * The attempt has ended.
     *
     * @param attempt the attempt
     * @param result the result
     */
    void onEnd(ClaimAttempt attempt, ClaimResult result);

    /**
     * The claim may have been written although the attempt was refused.
     *
     * @param order the order
     * @param started the record that may have been written
     * @param triedVersion the highest version that a write expected
     */
    void onUncertain(Order order, ClaimRecord started, long triedVersion);
  }

  /**
   * Creates an attempt that has not started.
   *
   * @param order the order to claim
   * @param started the record that claims the key
   * @param table the table of claim records
   * @param objects the store of large bodies
   * @param liveness the life of other agents
   * @param limits the limits of claims
   * @param clock the source of time
   * @param listener the receiver of the end
   */
  ClaimAttempt(
      Order order,
      ClaimRecord started,
      ClaimTable table,
      ObjectStore objects,
      AgentLiveness liveness,
      ClaimLimits limits,
      Clock clock,
      Listener listener) {
    this.order = order;
    this.started = started;
    this.table = table;
    this.objects = objects;
    this.liveness = liveness;
    this.clock = clock;
    this.listener = listener;
    this.retryMillis = limits.retryMillis();
    this.expiresAt =
        clock.millis() + Math.min(limits.claimMillis(), Math.max(0, order.deadlineMillis()));
  }

  /** Starts with the insertion of the record. */
  void start() {
    write(0);
  }

  /** Retries when a retry is due, and gives up when the time has passed. */
  void onTick() {
    long now = clock.millis();
    if (now >= expiresAt) {
      refuse(ErrorCode.ORDER_STORE_UNAVAILABLE, ran, "the store did not answer in time");
    } else if (retry.isPresent() && now >= retryAt) {
      Runnable action = retry.get();
      retry = Optional.empty();
      action.run();
    }
  }

  /**
   * Writes the record.
   *
   * @param version the version that the row must have, 0 when it must not exist
   */
  private void write(long version) {
    final long before = uncertainVersion;
    uncertainVersion = Math.max(uncertainVersion, version);
    table.write(order, version, started, result -> onWritten(version, before, result));
  }

  /**
   * Goes on after a write.
   *
   * @param version the version that the write expected
   * @param before the uncertain version before the write
   * @param result the result of the write
   */
  private void onWritten(long version, long before, StoreResult<Outcome> result) {
    if (ended) {
      return;
    }
    if (result instanceof StoreResult.Success<Outcome> success) {
      uncertainVersion = before;
      onOutcome(version, success.value());
    } else if (result instanceof StoreResult.NotApplied) {
      uncertainVersion = before;
      later(() -> write(version));
    } else {
      read();
    }
  }

  /**
   * Goes on after a write whose outcome is known.
   *
   * @param version the version that the write expected
   * @param outcome the outcome
   */
  private void onOutcome(long version, Outcome outcome) {
    if (outcome.applied()) {
      end(new ClaimResult.Granted(new Claim(order, version + 1, started)));
    } else if (outcome.conflicts().isEmpty()) {
      later(this::read);
    } else {
      inspect(outcome.conflicts().get(0));
    }
  }

  /** Reads the record back. */
  private void read() {
    table.read(order, this::onRead);
  }

  /**
   * Goes on after a read.
   *
   * @param result the result of the read
   */
  private void onRead(StoreResult<Optional<Row>> result) {
    if (ended) {
      return;
    }
    if (!(result instanceof StoreResult.Success<Optional<Row>> success)) {
      later(this::read);
    } else if (success.value().isPresent()) {
      inspect(success.value().get());
    } else {
      later(() -> write(0));
    }
  }

  /**
   * Goes on with an existing record.
   *
   * @param row the row
   */
  private void inspect(Row row) {
    ClaimRecord record = ClaimRecord.parse(row.value());
    if (record.is(order.identity(), ClaimState.STARTED)) {
      end(new ClaimResult.Granted(new Claim(order, row.version(), started)));
    } else if (record.state() == ClaimState.RELEASED) {
      write(row.version());
    } else if (!record.fingerprint().equals(order.fingerprint())) {
      refuse(ErrorCode.IDEMPOTENCY_KEY_REUSED, Ran.NO, "the key belongs to another request");
    } else if (record.state() == ClaimState.DONE) {
      replay(Optional.ofNullable(record.answer()));
    } else {
      refuseStarted(record);
    }
  }

  /**
   * Refuses an order whose key is claimed by another request.
   *
   * @param record the record of the other request
   */
  private void refuseStarted(ClaimRecord record) {
    boolean lost =
        clock.wallMillis() >= record.deadline()
            || liveness.hasEnded(record.instance(), record.incarnation());
    if (lost) {
      refuse(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, "an earlier run has no recorded outcome");
    } else {
      refuse(ErrorCode.STILL_RUNNING, Ran.UNKNOWN, "a request with this key is running");
    }
  }

  /**
   * Replays a recorded answer.
   *
   * @param answer the answer, empty when it was too large to keep
   */
  private void replay(Optional<RecordedAnswer> answer) {
    if (answer.isEmpty()) {
      refuse(ErrorCode.OUTCOME_UNKNOWN, Ran.YES, "the order has run; its answer was not kept");
      return;
    }
    ran = Ran.YES;
    if (answer.get().object().isEmpty()) {
      end(new ClaimResult.Replay(answer.get().toAnswer()));
    } else {
      objects.get(answer.get().object(), result -> onBody(answer.get(), result));
    }
  }

  /**
   * Replays a recorded answer with its body from the object store.
   *
   * @param answer the answer
   * @param result the result of reading the body
   */
  private void onBody(RecordedAnswer answer, StoreResult<Optional<byte[]>> result) {
    if (ended) {
      return;
    }
    if (!(result instanceof StoreResult.Success<Optional<byte[]>> success)) {
      later(() -> replay(Optional.of(answer)));
    } else if (success.value().isPresent()) {
      ByteString body = ByteString.copyFrom(success.value().get());
      end(new ClaimResult.Replay(answer.toAnswer(body)));
    } else {
      replay(Optional.empty());
    }
  }

  /**
   * Plans a retry.
   *
   * @param action what to do
   */
  private void later(Runnable action) {
    retry = Optional.of(action);
    retryAt = clock.millis() + retryMillis;
  }

  /**
   * Ends the attempt with a refusal.
   *
   * @param code the code
   * @param run whether an order under this key has run
   * @param detail the reason for people
   */
  private void refuse(ErrorCode code, Ran run, String detail) {
    if (code == ErrorCode.ORDER_STORE_UNAVAILABLE && uncertainVersion >= 0) {
      listener.onUncertain(order, started, uncertainVersion);
    }
    end(new ClaimResult.Refused(code, run, detail));
  }

  /**
   * Ends the attempt.
   *
   * @param result the result
   */
  private void end(ClaimResult result) {
    if (!ended) {
      ended = true;
      listener.onEnd(this, result);
    }
  }
}
