package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.almondslip.catalog.Flow;
import org.almondslip.error.ErrorCode;
import org.almondslip.order.Claim;
import org.almondslip.order.StoredAnswer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Dispatch;

/** One request at the agent, from its dispatch until its answer has been acknowledged. */
final class Request {

  /** Start time of a request that has no slot yet. */
  private static final long NOT_STARTED = -1;

  /** Largest body that is kept for a claim record, in bytes. */
  static final int RECORD_BYTES = 1 << 20;

  /** Identity in the fleet. */
  private final RequestKey key;

  /** Identity at this agent. */
  private final long token;

  /** Flow of the request. */
  private final Flow flow;

  /** When the deadline passes, in milliseconds. */
  private final long deadlineAt;

  /** Answer on its way to the router. */
  private final AnswerStream answer;

  /** What to run, without its body once the call has started. */
  private Dispatch dispatch;

  /** Stage of the request. */
  private Phase phase = Phase.STAGED;

  /** When the connection was lost or the answer ended, in milliseconds. */
  private long idleSince;

  /** When the request got its slot, in milliseconds. */
  private long startedAt = NOT_STARTED;

  /** When the target last made progress, in milliseconds. */
  private long progressAt;

  /** Whether reading from the target is paused. */
  private boolean paused;

  /** Why the agent ends the call early. */
  private Optional<ErrorCode> cancelled = Optional.empty();

  /** Claim of the idempotency key. */
  private Optional<Claim> claim = Optional.empty();

  /** Head of the answer, once it has arrived. */
  private Optional<AnswerHead> head = Optional.empty();

  /** Body of the answer for the claim record. */
  private ByteString recorded = ByteString.EMPTY;

  /** Stages of a request. */
  enum Phase {
    /** It waits for a slot. */
    STAGED(false),
    /** Its idempotency key is being claimed, ahead of a free slot. */
    CLAIMING(false),
    /** It holds its claim and waits for a slot. */
    READY(false),
    /** It runs at the target. */
    CALLING(true),
    /** A stored answer is being sent. */
    REPLAYING(false),
    /** The end of its answer has been added to the buffer. */
    ENDED(false);

    /** Whether the request holds a slot in this stage. */
    private final boolean holdsSlot;

    /**
     * Creates a stage.
     *
     * @param holdsSlot whether the request holds a slot in it
     */
    Phase(boolean holdsSlot) {
      this.holdsSlot = holdsSlot;
    }
  }

  /**
   * Creates a staged request.
   *
   * @param token the identity at this agent
   * @param flow the flow
   * @param dispatch what to run
   * @param answer the answer on its way to the router
   * @param now the current time, in milliseconds
   */
  Request(long token, Flow flow, Dispatch dispatch, AnswerStream answer, long now) {
    this.key = RequestKey.of(dispatch.getRequestId());
    this.token = token;
    this.flow = flow;
    this.dispatch = dispatch;
    this.answer = answer;
    this.deadlineAt = now + Integer.toUnsignedLong(dispatch.getDeadlineMs());
    this.idleSince = now;
  }

  /**
   * Enters a stage.
   *
   * @param next the stage
   * @param now the current time, in milliseconds
   */
  void enter(Phase next, long now) {
    if (!phase.holdsSlot && next.holdsSlot) {
      startedAt = now;
    }
    progressAt = now;
    phase = next;
    if (next == Phase.CALLING) {
      dispatch = dispatch.toBuilder().clearBody().build();
    }
  }

  /**
   * Takes the head of the answer.
   *
   * @param answerHead the head
   * @param now the current time, in milliseconds
   */
  void onHead(AnswerHead answerHead, long now) {
    progressAt = now;
    head = Optional.of(answerHead);
    answer.head(answerHead);
  }

  /**
   * Takes a piece of the answer's body.
   *
   * @param data the piece
   * @param now the current time, in milliseconds
   */
  void onData(ByteString data, long now) {
    progressAt = now;
    answer.data(data);
    if (claim.isPresent() && recorded.size() <= RECORD_BYTES) {
      recorded = recorded.concat(data);
    }
  }

  /**
   * Adds the end of the answer.
   *
   * @param end the end
   * @param now the current time, in milliseconds
   */
  void end(AnswerEnd end, long now) {
    phase = Phase.ENDED;
    idleSince = now;
    answer.end(end);
  }

  /**
   * Notes that the connection was lost or a new one was attached.
   *
   * @param now the current time, in milliseconds
   */
  void touch(long now) {
    idleSince = now;
  }

  /**
   * Notes whether reading from the target is paused.
   *
   * @param value whether it is paused
   * @param now the current time, in milliseconds
   */
  void setPaused(boolean value, long now) {
    paused = value;
    progressAt = now;
  }

  /**
   * Notes why the agent ends the call.
   *
   * @param code the reason; the first one stands
   */
  void markCancelled(ErrorCode code) {
    if (cancelled.isEmpty()) {
      cancelled = Optional.of(code);
    }
  }

  /**
   * Takes the claim of the idempotency key.
   *
   * @param held the claim
   */
  void hold(Claim held) {
    claim = Optional.of(held);
  }

  /**
   * Returns the complete answer for the claim record.
   *
   * @return the answer, or empty when it is too large
   */
  Optional<StoredAnswer> recordedAnswer() {
    return recorded.size() > RECORD_BYTES
        ? Optional.empty()
        : head.map(known -> new StoredAnswer(known, recorded));
  }

  /**
   * Returns the identity in the fleet.
   *
   * @return the key
   */
  RequestKey key() {
    return key;
  }

  /**
   * Returns the identity at this agent.
   *
   * @return the token
   */
  long token() {
    return token;
  }

  /**
   * Returns the flow.
   *
   * @return the flow
   */
  Flow flow() {
    return flow;
  }

  /**
   * Returns what to run.
   *
   * @return the dispatch, without its body once the call has started
   */
  Dispatch dispatch() {
    return dispatch;
  }

  /**
   * Returns the stage.
   *
   * @return the stage
   */
  Phase phase() {
    return phase;
  }

  /**
   * Returns the answer on its way to the router.
   *
   * @return the answer
   */
  AnswerStream answer() {
    return answer;
  }

  /**
   * Returns the claim of the idempotency key.
   *
   * @return the claim, empty when there is none
   */
  Optional<Claim> claim() {
    return claim;
  }

  /**
   * Returns why the agent ends the call early.
   *
   * @return the reason, empty when it does not
   */
  Optional<ErrorCode> cancelled() {
    return cancelled;
  }

  /**
   * Returns whether reading from the target is paused.
   *
   * @return true while it is paused
   */
  boolean paused() {
    return paused;
  }

  /**
   * Returns whether the answer has begun.
   *
   * @return true once its head has arrived
   */
  boolean answered() {
    return head.isPresent();
  }

  /**
   * Returns the time since the request got its slot.
   *
   * @param now the current time, in milliseconds
   * @return the slot time so far, in milliseconds; 0 when it has no slot yet
   */
  long elapsed(long now) {
    return startedAt == NOT_STARTED ? 0 : now - startedAt;
  }

  /**
   * Returns whether the deadline has passed.
   *
   * @param now the current time, in milliseconds
   * @return true when it has
   */
  boolean overdue(long now) {
    return now >= deadlineAt;
  }

  /**
   * Returns the time until the deadline.
   *
   * @param now the current time, in milliseconds
   * @return the time in milliseconds, 0 when it has passed
   */
  long remaining(long now) {
    return Math.max(0, deadlineAt - now);
  }

  /**
   * Returns whether the target has made no progress for too long.
   *
   * @param limitMillis the limit
   * @param now the current time, in milliseconds
   * @return true when the call hangs; false while the agent itself has paused it
   */
  boolean hangs(long limitMillis, long now) {
    return phase == Phase.CALLING && !paused && now - progressAt >= limitMillis;
  }

  /**
   * Returns whether the request may be given up: its connection has been lost for too long, or it
   * ended and is not acknowledged although its deadline has passed.
   *
   * @param limitMillis the limit
   * @param now the current time, in milliseconds
   * @return true when it may be given up
   */
  boolean abandoned(long limitMillis, long now) {
    boolean unclaimed = answer.peer().isEmpty() || (phase == Phase.ENDED && overdue(now));
    return unclaimed && now - idleSince >= limitMillis;
  }
}
