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
 * <p>The attempt inserts the claim record. When the outcome of a write is unknown, it reads the
 * record back and compares identities. When its time limit has passed, it refuses the order as not
 * run unless an earlier run is known; this is correct because a call is sent only after its claim
 * has been granted.
 */
final class ClaimAttempt {

  private final Order order;

  /** Record that claims the key for this order. */
  private final ClaimRecord startedRecord;

  private final ClaimTable table;

  /** Store of the bodies that exceed the inline limit. */
  private final ObjectStore objects;

  private final AgentLiveness liveness;

  private final Clock clock;

  private final Listener listener;

  /** Clock time at which the attempt is refused. */
  private final long expiresAtMillis;

  private final long retryDelayMillis;

  /** Highest row version expected by a write of unknown outcome, or -1 when there is none. */
  private long uncertainVersion = -1;

  /** Action to run when the retry is due, or empty when no retry is scheduled. */
  private Optional<Runnable> retryAction = Optional.empty();

  /** Clock time at which the retry is due. */
  private long retryAtMillis;

  /** Whether an order with this key is known to have run. */
  private Ran ran = Ran.NO;

  private boolean ended;

  /** Receives the results of attempts. */
  interface Listener {

    /**
     * Called once when an attempt has ended.
     *
     * @param attempt the attempt
     * @param result the result of the attempt
     */
    void onEnd(ClaimAttempt attempt, ClaimResult result);

    /**
     * Called before the end of a refused attempt whose claim may have been written nevertheless.
     *
     * @param order the order of the attempt
     * @param startedRecord the record that may have been written
     * @param highestExpectedVersion the highest row version that a write of unknown outcome
     *     expected
     */
    void onUncertain(Order order, ClaimRecord startedRecord, long highestExpectedVersion);
  }

  /**
   * Creates an attempt without starting it.
   *
   * @param order the order to claim
   * @param startedRecord the record that claims the key for the order
   * @param table the table of claim records
   * @param objects the store of the bodies that exceed the inline limit
   * @param liveness the liveness of other agents
   * @param limits the limits of claims
   * @param clock the source of time
   * @param listener the receiver of the result
   */
  ClaimAttempt(
      Order order,
      ClaimRecord startedRecord,
      ClaimTable table,
      ObjectStore objects,
      AgentLiveness liveness,
      ClaimLimits limits,
      Clock clock,
      Listener listener) {
    this.order = order;
    this.startedRecord = startedRecord;
    this.table = table;
    this.objects = objects;
    this.liveness = liveness;
    this.clock = clock;
    this.listener = listener;
    this.retryDelayMillis = limits.retryMillis();
    this.expiresAtMillis =
        clock.millis() + Math.min(limits.claimMillis(), Math.max(0, order.deadlineMillis()));
  }

  /** Starts the attempt by inserting the record. */
  void start() {
    write(0);
  }

  /** Refuses the order when the time limit has passed, or runs the retry that is due. */
  void onTick() {
    long now = clock.millis();
    if (now >= expiresAtMillis) {
      refuse(ErrorCode.ORDER_STORE_UNAVAILABLE, ran, "the store did not answer in time");
    } else if (retryAction.isPresent() && now >= retryAtMillis) {
      Runnable action = retryAction.get();
      retryAction = Optional.empty();
      action.run();
    }
  }

  /**
   * Writes the record that claims the key.
   *
   * @param version the expected version, or 0 when the row must not exist
   */
  private void write(long version) {
    final long previousUncertainVersion = uncertainVersion;
    uncertainVersion = Math.max(uncertainVersion, version);
    table.write(
        order,
        version,
        startedRecord,
        result -> onWritten(version, previousUncertainVersion, result));
  }

  /**
   * Handles the result of a write; only a write of unknown outcome keeps its version as uncertain.
   *
   * @param version the row version that the write expected
   * @param previousUncertainVersion the uncertain version before the write
   * @param result the result of the write
   */
  private void onWritten(long version, long previousUncertainVersion, StoreResult<Outcome> result) {
    if (ended) {
      return;
    }
    if (result instanceof StoreResult.Success<Outcome> success) {
      uncertainVersion = previousUncertainVersion;
      onOutcome(version, success.value());
    } else if (result instanceof StoreResult.NotApplied) {
      uncertainVersion = previousUncertainVersion;
      scheduleRetry(() -> write(version));
    } else {
      read();
    }
  }

  /**
   * Handles the outcome of a write.
   *
   * @param version the row version that the write expected
   * @param outcome the outcome of the write
   */
  private void onOutcome(long version, Outcome outcome) {
    if (outcome.applied()) {
      end(new ClaimResult.Granted(new Claim(order, version + 1, startedRecord)));
    } else if (outcome.conflicts().isEmpty()) {
      scheduleRetry(this::read);
    } else {
      onExistingRecord(outcome.conflicts().get(0));
    }
  }

  /** Reads the claim record of the key. */
  private void read() {
    table.read(order, this::onRead);
  }

  /**
   * Handles the result of a read.
   *
   * @param result the result of the read
   */
  private void onRead(StoreResult<Optional<Row>> result) {
    if (ended) {
      return;
    }
    if (!(result instanceof StoreResult.Success<Optional<Row>> success)) {
      scheduleRetry(this::read);
    } else if (success.value().isPresent()) {
      onExistingRecord(success.value().get());
    } else {
      scheduleRetry(() -> write(0));
    }
  }

  /**
   * Grants, retries or refuses the claim according to the existing record.
   *
   * @param row the row of the claim record
   */
  private void onExistingRecord(Row row) {
    ClaimRecord record = ClaimRecord.parse(row.value());
    if (record.matches(order.identity(), ClaimState.STARTED)) {
      end(new ClaimResult.Granted(new Claim(order, row.version(), startedRecord)));
    } else if (record.state() == ClaimState.RELEASED) {
      write(row.version());
    } else if (!record.fingerprint().equals(order.fingerprint())) {
      refuse(ErrorCode.IDEMPOTENCY_KEY_REUSED, Ran.NO, "the key belongs to another request");
    } else if (record.state() == ClaimState.DONE) {
      replay(Optional.ofNullable(record.answer()));
    } else {
      refuseUnfinished(record);
    }
  }

  /**
   * Refuses an order whose key is claimed by another request without a recorded outcome. The
   * outcome is unknown when the deadline of that request has passed or its agent has ended.
   *
   * @param record the record of the other request
   */
  private void refuseUnfinished(ClaimRecord record) {
    boolean abandoned =
        clock.wallMillis() >= record.deadline()
            || liveness.hasEnded(record.instance(), record.incarnation());
    if (abandoned) {
      refuse(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, "an earlier run has no recorded outcome");
    } else {
      refuse(ErrorCode.STILL_RUNNING, Ran.UNKNOWN, "a request with this key is running");
    }
  }

  /**
   * Replays a recorded answer.
   *
   * @param answer the recorded answer, or empty when it was not kept
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
   * @param answer the recorded answer
   * @param result the result of reading the body
   */
  private void onBody(RecordedAnswer answer, StoreResult<Optional<byte[]>> result) {
    if (ended) {
      return;
    }
    if (!(result instanceof StoreResult.Success<Optional<byte[]>> success)) {
      scheduleRetry(() -> replay(Optional.of(answer)));
    } else if (success.value().isPresent()) {
      ByteString body = ByteString.copyFrom(success.value().get());
      end(new ClaimResult.Replay(answer.toAnswer(body)));
    } else {
      replay(Optional.empty());
    }
  }

  /**
   * Schedules a retry; replaces one that is already scheduled.
   *
   * @param action the action to run when the retry is due
   */
  private void scheduleRetry(Runnable action) {
    retryAction = Optional.of(action);
    retryAtMillis = clock.millis() + retryDelayMillis;
  }

  /**
   * Refuses the order. Reports the claim as uncertain when the store was unavailable and a write
   * has an unknown outcome.
   *
   * @param code the error code of the refusal
   * @param run whether an order with this key has run
   * @param detail the reason in human-readable form
   */
  private void refuse(ErrorCode code, Ran run, String detail) {
    if (code == ErrorCode.ORDER_STORE_UNAVAILABLE && uncertainVersion >= 0) {
      listener.onUncertain(order, startedRecord, uncertainVersion);
    }
    end(new ClaimResult.Refused(code, run, detail));
  }

  /**
   * Ends the attempt unless it has already ended.
   *
   * @param result the result of the attempt
   */
  private void end(ClaimResult result) {
    if (!ended) {
      ended = true;
      listener.onEnd(this, result);
    }
  }
}
