package org.almondslip.routing;

import com.google.protobuf.ByteString;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Attach;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.RequestId;

/** Forwards the answers of agents to callers, each part exactly once and in order. */
final class AnswerRelay {

  /** HTTP status of a successful event stream. */
  private static final int OK = 200;

  /** Minimum interval between two requests for missing parts, in milliseconds. */
  private static final long GAP_INTERVAL_MILLIS = 200;

  /** Media type of server-sent events. */
  private static final String EVENT_STREAM = "text/event-stream";

  private static final int MIN_STATUS = 200;

  private static final int MAX_STATUS = 599;

  private final RouterState state;

  private final RequestFinisher finisher;

  private final RouterEffects effects;

  AnswerRelay(RouterState state, RequestFinisher finisher, RouterEffects effects) {
    this.state = state;
    this.finisher = finisher;
    this.effects = effects;
  }

  /**
   * Processes a part of an answer.
   *
   * @param link the agent that sent it
   * @param answer the part
   * @param now the current time, in milliseconds
   */
  void onAnswer(AgentLink link, Answer answer, long now) {
    Attempt attempt = state.inFlight().find(answer.getRequestId()).orElse(null);
    if (attempt == null || !isSameProcess(attempt.agent(), link.peer().peer())) {
      onUnmatched(link, answer);
      return;
    }
    switch (attempt.window().orderOf(answer.getSequence())) {
      case NEXT -> onNext(link, attempt, answer, now);
      case DUPLICATE -> state.counters().count(RoutingCounters.Event.REPEATED_ANSWER);
      default -> onGap(link, attempt, now);
    }
  }

  /**
   * Acknowledges the answer parts that a caller has consumed.
   *
   * @param pending the request
   * @param bytes the bytes consumed since the last call
   */
  void onConsumed(PendingRequest pending, long bytes) {
    pending.addConsumedBytes(bytes);
    pending.attempt().ifPresent(this::acknowledge);
  }

  /**
   * Asks an agent to continue the answer of an attempt on a connection.
   *
   * @param link the connection
   * @param attempt the attempt
   */
  void attach(AgentLink link, Attempt attempt) {
    Attach.Builder attach =
        Attach.newBuilder().setRequestId(attempt.id()).setNextSequence(attempt.window().next());
    link.peer().send(Frame.newBuilder().setAttach(attach).build());
  }

  /**
   * Drops an answer part that belongs to no attempt in flight. An end is acknowledged so that the
   * agent can release the answer.
   *
   * @param link the agent that sent it
   * @param answer the part
   */
  private void onUnmatched(AgentLink link, Answer answer) {
    state.counters().count(RoutingCounters.Event.STRAY_ANSWER);
    if (answer.hasEnd()) {
      sendAck(link, answer.getRequestId(), answer.getSequence() + 1);
    }
  }

  /**
   * Drops a part that arrived out of order and requests the missing parts.
   *
   * @param link the agent that sent it
   * @param attempt the attempt
   * @param now the current time, in milliseconds
   */
  private void onGap(AgentLink link, Attempt attempt, long now) {
    state.counters().count(RoutingCounters.Event.EARLY_ANSWER);
    if (attempt.window().tryReportGap(now, GAP_INTERVAL_MILLIS)) {
      attach(link, attempt);
    }
  }

  /**
   * Processes the next part of an answer.
   *
   * @param link the agent that sent it
   * @param attempt the attempt
   * @param answer the part
   * @param now the current time, in milliseconds
   */
  private void onNext(AgentLink link, Attempt attempt, Answer answer, long now) {
    if (answer.hasEnd()) {
      attempt.window().accept(attempt.pending().forwardedBytes());
      sendAck(link, attempt.id(), attempt.window().next());
      onEnd(attempt, answer, now);
    } else if (attempt.abandoned()) {
      attempt.window().accept(attempt.pending().forwardedBytes());
    } else if (answer.hasHead() != (answer.getSequence() == 0)) {
      failProtocolViolation(attempt, "the head must be the first part of an answer", now);
    } else if (answer.hasHead() && !isFinalStatus(answer.getHead().getStatus())) {
      failProtocolViolation(attempt, "the status of an answer must be 200 to 599", now);
    } else {
      forward(attempt, answer, now);
    }
  }

  /** Returns whether a status is one of a final response (RFC 9110, section 15). */
  private static boolean isFinalStatus(int status) {
    return status >= MIN_STATUS && status <= MAX_STATUS;
  }

  /**
   * Forwards a head or data to the caller.
   *
   * @param attempt the attempt
   * @param answer the part
   * @param now the current time, in milliseconds
   */
  private void forward(Attempt attempt, Answer answer, long now) {
    PendingRequest pending = attempt.pending();
    if (answer.hasHead()) {
      onHead(attempt, answer.getHead(), now);
    } else {
      ByteString data = answer.getData();
      forwardData(pending, pending.events().map(events -> events.add(data)).orElse(data));
    }
    attempt.window().accept(pending.forwardedBytes());
  }

  /**
   * Forwards the status and headers to the caller, or checks those of a resumed stream.
   *
   * @param attempt the attempt
   * @param head the status and headers
   * @param now the current time, in milliseconds
   */
  private void onHead(Attempt attempt, AnswerHead head, long now) {
    PendingRequest pending = attempt.pending();
    if (!pending.headSent()) {
      pending.recordHeadSent(pending.request().stream() && isEventStream(head));
      effects.head(pending.request().caller(), head);
    } else if (!isEventStream(head)) {
      finisher.abort(
          pending, ErrorCode.STREAM_INTERRUPTED, "the stream could not be continued", now);
    }
  }

  /**
   * Forwards bytes to the caller.
   *
   * @param pending the request
   * @param data the bytes, possibly none
   */
  private void forwardData(PendingRequest pending, ByteString data) {
    if (!data.isEmpty()) {
      pending.addForwardedBytes(data.size());
      effects.data(pending.request().caller(), data);
    }
  }

  /**
   * Ends an attempt.
   *
   * @param attempt the attempt
   * @param answer the last part of its answer
   * @param now the current time, in milliseconds
   */
  private void onEnd(Attempt attempt, Answer answer, long now) {
    AnswerEnd end = answer.getEnd();
    boolean answered = answer.getSequence() > 0;
    if (!end.getComplete()) {
      finisher.fail(attempt, Failure.of(end, answered), now);
    } else if (!answered) {
      failProtocolViolation(attempt, "a complete answer must have a head", now);
    } else {
      if (!attempt.abandoned()) {
        PendingRequest pending = attempt.pending();
        pending.events().ifPresent(events -> forwardData(pending, events.finish()));
      }
      finisher.succeed(attempt, end);
    }
  }

  /**
   * Ends an attempt whose agent violated the protocol between router and agent.
   *
   * @param attempt the attempt
   * @param detail a description of the violation
   * @param now the current time, in milliseconds
   */
  private void failProtocolViolation(Attempt attempt, String detail, long now) {
    finisher.sendCancel(attempt);
    finisher.fail(attempt, Failure.unknown(ErrorCode.INTERNAL, detail), now);
  }

  /**
   * Sends an acknowledgement if one is due.
   *
   * @param attempt the attempt
   */
  private void acknowledge(Attempt attempt) {
    long next = attempt.window().acknowledge(attempt.pending().consumedBytes());
    if (next > 0) {
      state
          .agents()
          .find(attempt.connection())
          .ifPresent(link -> sendAck(link, attempt.id(), next));
    }
  }

  /**
   * Sends an acknowledgement.
   *
   * @param link the agent
   * @param id the request id
   * @param next the sequence number below which all is acknowledged
   */
  private static void sendAck(AgentLink link, RequestId id, long next) {
    AnswerAck.Builder ack = AnswerAck.newBuilder().setRequestId(id).setNextSequence(next);
    link.peer().send(Frame.newBuilder().setAnswerAck(ack).build());
  }

  /**
   * Returns whether an answer is a stream of server-sent events.
   *
   * @param head the status and headers
   * @return true for a successful answer with the media type of server-sent events
   */
  private static boolean isEventStream(AnswerHead head) {
    return head.getStatus() == OK
        && head.getHeadersList().stream()
            .anyMatch(
                header ->
                    header.getName().equalsIgnoreCase("content-type")
                        && header.getValue().startsWith(EVENT_STREAM));
  }

  /**
   * Returns whether two identities belong to the same incarnation of the same instance.
   *
   * @param one an identity
   * @param other another identity
   * @return true when instance and incarnation agree
   */
  private static boolean isSameProcess(PeerIdentity one, PeerIdentity other) {
    return one.incarnation() == other.incarnation() && one.instanceId().equals(other.instanceId());
  }
}
