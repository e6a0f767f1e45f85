package org.almondslip.execution;

import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Attach;
import org.almondslip.protocol.wire.Cancel;
import org.almondslip.protocol.wire.Ran;

/**
 * Manages the delivery of answers to routers: attachment, acknowledgement, cancellation and
 * abandonment.
 */
final class Deliveries {

  private final AgentLimits limits;

  private final Workload workload;

  private final RequestHistory history;

  private final Runner runner;

  private final TargetEvents events;

  private final ExecutionCounters counters;

  /**
   * Creates a delivery manager.
   *
   * @param limits the limits of the agent
   * @param workload the requests held by the agent
   * @param history the requests that have ended
   * @param runner the runner that starts and stops requests
   * @param events the handler of call events
   * @param counters the counters of the agent
   */
  Deliveries(
      AgentLimits limits,
      Workload workload,
      RequestHistory history,
      Runner runner,
      TargetEvents events,
      ExecutionCounters counters) {
    this.limits = limits;
    this.workload = workload;
    this.history = history;
    this.runner = runner;
    this.events = events;
    this.counters = counters;
  }

  /**
   * Replays an answer on a connection.
   *
   * @param peer the connection
   * @param attach the request and the first part that the router does not have
   * @param now the current time, in milliseconds
   */
  void onAttach(Peer peer, Attach attach, long now) {
    RequestKey key = RequestKey.of(attach.getRequestId());
    Optional<Request> request = workload.find(key);
    if (request.isPresent()) {
      request.get().markIdle(now);
      request.get().answer().attach(peer, attach.getNextSequence());
      events.onWindowSpace(request.get(), now);
    } else {
      AnswerEnd end =
          history.find(key).map(Deliveries::evictedEnd).orElseGet(() -> unknownRequestEnd(key));
      peer.send(AnswerEnds.frame(key, attach.getNextSequence(), end));
    }
  }

  /**
   * Builds the end for a request whose answer is no longer retained.
   *
   * @param ran whether the request has run
   * @return the end
   */
  private static AnswerEnd evictedEnd(Ran ran) {
    ErrorCode code = ran == Ran.NO ? ErrorCode.NO_TARGET : ErrorCode.STREAM_INTERRUPTED;
    return AnswerEnds.failed(code, ran, "the answer is no longer kept", 0);
  }

  /**
   * Builds the end for a request that never arrived. Adds it to the history, so that a late
   * dispatch does not run.
   *
   * @param key the request
   * @return the end
   */
  private AnswerEnd unknownRequestEnd(RequestKey key) {
    history.add(key, Ran.NO);
    String detail = "the request never reached this agent";
    return AnswerEnds.failed(ErrorCode.NO_TARGET, Ran.NO, detail, 0);
  }

  /**
   * Discards the parts that a router has acknowledged.
   *
   * @param ack the acknowledgement
   * @param now the current time, in milliseconds
   */
  void onAck(AnswerAck ack, long now) {
    Optional<Request> request = workload.find(RequestKey.of(ack.getRequestId()));
    if (request.isEmpty()) {
      counters.add(ExecutionCounters.Count.FRAMES_DROPPED, 1);
      return;
    }
    request.get().answer().buffer().acknowledge(ack.getNextSequence());
    events.onWindowSpace(request.get(), now);
  }

  /**
   * Handles the cancellation of a request by its router.
   *
   * @param cancel the request
   * @param now the current time, in milliseconds
   */
  void onCancel(Cancel cancel, long now) {
    Optional<Request> request = workload.find(RequestKey.of(cancel.getRequestId()));
    if (request.isEmpty()) {
      counters.add(ExecutionCounters.Count.FRAMES_DROPPED, 1);
      return;
    }
    abandon(request.get(), now);
  }

  /**
   * Detaches the requests of a lost connection, so that its router can reattach to them.
   *
   * @param connection the connection
   * @param now the current time, in milliseconds
   */
  void onClose(long connection, long now) {
    for (Request request : workload.live()) {
      if (request.answer().peer().filter(peer -> peer.id() == connection).isPresent()) {
        request.answer().detach();
        request.markIdle(now);
      }
    }
  }

  /**
   * Abandons requests whose router did not reattach in time, and ended requests that remain
   * unacknowledged.
   *
   * @param now the current time, in milliseconds
   */
  void expire(long now) {
    for (Request request : workload.live()) {
      if (request.isAbandoned(limits.reattachMillis(), now)) {
        abandon(request, now);
      }
    }
  }

  /**
   * Discards the answer of a request and stops the request.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  private void abandon(Request request, long now) {
    request.answer().discard();
    runner.stop(request, ErrorCode.CANCELLED, now);
    events.onWindowSpace(request, now);
  }
}
