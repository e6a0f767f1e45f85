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

  /** Maximum size of a body that is stored in a claim record, in bytes. */
  static final int MAX_RECORDED_BYTES = 1 << 20;

  /** Cluster-wide identifier. */
  private final RequestKey key;

  /** Identifier at this agent. */
  private final long token;

  private final Flow flow;

  /** When the deadline passes, in milliseconds. */
  private final long deadlineAt;

  /** Outbound answer. */
  private final AnswerStream answer;

  /** Dispatched request, without its body once the call has started. */
  private Dispatch dispatch;

  private Phase phase = Phase.STAGED;

  /** When the connection was lost or the answer ended, in milliseconds. */
  private long idleSince;

  /** When the request got its slot, in milliseconds. */
  private long startedAt = NOT_STARTED;

  /** When the target last made progress, in milliseconds. */
  private long progressAt;

  /** Whether reading from the target is paused. */
  private boolean paused;

  /** Error code with which the agent cancels the call, or empty. */
  private Optional<ErrorCode> cancelCode = Optional.empty();

  /** Claim of the idempotency key. */
  private Optional<Claim> claim = Optional.empty();

  /** Head of the answer, once it has arrived. */
  private Optional<AnswerHead> head = Optional.empty();

  /** Body of the answer for the claim record; not extended once it exceeds the maximum. */
  private ByteString recordedBody = ByteString.EMPTY;

  /** Phases of a request. */
  enum Phase {
    /** It waits for a slot. */
    STAGED(false),
    /** Its idempotency key is being claimed, ahead of a free slot. */
    CLAIMING(false),
    /** It holds its claim and waits for a slot. */
    READY(false),
    /** It is running at the target. */
    CALLING(true),
    /** A stored answer is being sent. */
    REPLAYING(false),
    /** The end of its answer has been added to the buffer. */
    ENDED(false);

    /** Whether the request holds a slot in this phase. */
    private final boolean holdsSlot;

    /**
     * Creates a phase.
     *
     * @param holdsSlot whether the request holds a slot in this phase
     */
    Phase(boolean holdsSlot) {
      this.holdsSlot = holdsSlot;
    }
  }

  /**
   * Creates a staged request.
   *
   * @param token the identifier at this agent
   * @param flow the flow
   * @param dispatch the dispatched request
   * @param answer the outbound answer
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
   * Enters a phase.
   *
   * @param next the phase
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
   * Handles the head of the answer.
   *
   * @param answerHead the head
   * @param now the current time, in milliseconds
   */
  void onHead(AnswerHead answerHead, long now) {
    progressAt = now;
    head = Optional.of(answerHead);
    answer.sendHead(answerHead);
  }

  /**
   * Handles a chunk of the answer's body.
   *
   * @param data the chunk
   * @param now the current time, in milliseconds
   */
  void onData(ByteString data, long now) {
    progressAt = now;
    answer.sendData(data);
    if (claim.isPresent() && recordedBody.size() <= MAX_RECORDED_BYTES) {
      recordedBody = recordedBody.concat(data);
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
    answer.sendEnd(end);
  }

  /**
   * Restarts the idle timer after the connection was lost or a new one was attached.
   *
   * @param now the current time, in milliseconds
   */
  void markIdle(long now) {
    idleSince = now;
  }

  /**
   * Sets whether reading from the target is paused.
   *
   * @param value whether it is paused
   * @param now the current time, in milliseconds
   */
  void setPaused(boolean value, long now) {
    paused = value;
    progressAt = now;
  }

  /**
   * Marks the request as cancelled. Only the first code is kept.
   *
   * @param code the error code
   */
  void markCancelled(ErrorCode code) {
    if (cancelCode.isEmpty()) {
      cancelCode = Optional.of(code);
    }
  }

  /**
   * Sets the claim of the idempotency key.
   *
   * @param granted the claim
   */
  void setClaim(Claim granted) {
    claim = Optional.of(granted);
  }

  /**
   * Returns the complete answer for the claim record.
   *
   * @return the answer, or empty if it is too large
   */
  Optional<StoredAnswer> recordedAnswer() {
    return recordedBody.size() > MAX_RECORDED_BYTES
        ? Optional.empty()
        : head.map(known -> new StoredAnswer(known, recordedBody));
  }

  /**
   * Returns the cluster-wide identifier.
   *
   * @return the key
   */
  RequestKey key() {
    return key;
  }

  /**
   * Returns the identifier at this agent.
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
   * Returns the dispatched request.
   *
   * @return the dispatch, without its body once the call has started
   */
  Dispatch dispatch() {
    return dispatch;
  }

  /**
   * Returns the phase.
   *
   * @return the phase
   */
  Phase phase() {
    return phase;
  }

  /**
   * Returns the outbound answer.
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
   * Returns the error code with which the agent cancels the call.
   *
   * @return the error code, or empty if the request is not cancelled
   */
  Optional<ErrorCode> cancelCode() {
    return cancelCode;
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
  boolean hasHead() {
    return head.isPresent();
  }

  /**
   * Returns the time since the request got its slot.
   *
   * @param now the current time, in milliseconds
   * @return the slot time so far, in milliseconds; 0 when it has no slot yet
   */
  long slotMillis(long now) {
    return startedAt == NOT_STARTED ? 0 : now - startedAt;
  }

  /**
   * Returns whether the deadline has passed.
   *
   * @param now the current time, in milliseconds
   * @return true if it has
   */
  boolean isPastDeadline(long now) {
    return now >= deadlineAt;
  }

  /**
   * Returns the time until the deadline.
   *
   * @param now the current time, in milliseconds
   * @return the time in milliseconds, 0 when it has passed
   */
  long remainingMillis(long now) {
    return Math.max(0, deadlineAt - now);
  }

  /**
   * Returns whether the target has made no progress within a time limit.
   *
   * @param limitMillis the limit, in milliseconds
   * @param now the current time, in milliseconds
   * @return true if the call is stalled; always false while the agent has paused it
   */
  boolean isStalled(long limitMillis, long now) {
    return phase == Phase.CALLING && !paused && now - progressAt >= limitMillis;
  }

  /**
   * Returns whether the request may be abandoned because its connection has been lost for too long,
   * or because it has ended and remains unacknowledged after its deadline.
   *
   * @param limitMillis the limit, in milliseconds
   * @param now the current time, in milliseconds
   * @return true if the request may be abandoned
   */
  boolean isAbandoned(long limitMillis, long now) {
    boolean undeliverable =
        answer.peer().isEmpty() || (phase == Phase.ENDED && isPastDeadline(now));
    return undeliverable && now - idleSince >= limitMillis;
  }
}
