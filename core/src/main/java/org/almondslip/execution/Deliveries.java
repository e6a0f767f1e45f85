package org.almondslip.execution;

import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Attach;
import org.almondslip.protocol.wire.Cancel;
import org.almondslip.protocol.wire.Ran;

/** Connects answers with the connections of their routers: attach, acknowledge, cancel, give up. */
final class Deliveries {

  /** Limits of the agent. */
  private final AgentLimits limits;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Requests that have ended. */
  private final RequestHistory history;

  /** Starts and stops of requests. */
  private final Runner runner;

  /** Events of calls. */
  private final TargetEvents events;

  /** Counters of the agent. */
  private final ExecutionCounters counters;

  /**
   * Creates the connection between answers and routers.
   *
   * @param limits the limits of the agent
   * @param workload the requests that the agent holds
   * @param history the requests that have ended
   * @param runner the starts and stops of requests
   * @param events the events of calls
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
      request.get().touch(now);
      request.get().answer().attach(peer, attach.getNextSequence());
      events.onRoom(request.get(), now);
    } else {
      AnswerEnd end = history.find(key).map(Deliveries::forgotten).orElseGet(() -> unknown(key));
      peer.send(AnswerEnds.frame(key, attach.getNextSequence(), end));
    }
  }

  /**
   * Builds the end for a request whose answer is no longer kept.
   *
   * @param ran whether the request has run
   * @return the end
   */
  private static AnswerEnd forgotten(Ran ran) {
    ErrorCode code = ran == Ran.NO ? ErrorCode.NO_TARGET : ErrorCode.STREAM_INTERRUPTED;
    return AnswerEnds.failed(code, ran, "the answer is no longer kept", 0);
  }

  /**
   * Builds the end for a request that never arrived, and keeps it from running if it still does.
   *
   * @param key the request
   * @return the end
   */
  private AnswerEnd unknown(RequestKey key) {
    history.add(key, Ran.NO);
    String detail = "the request never reached this agent";
    return AnswerEnds.failed(ErrorCode.NO_TARGET, Ran.NO, detail, 0);
  }

  /**
   * Forgets the parts that a router has.
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
    events.onRoom(request.get(), now);
  }

  /**
   * Ends a request whose caller has gone.
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
    giveUp(request.get(), now);
  }

  /**
   * Keeps the requests of a lost connection for its router to come back.
   *
   * @param connection the connection
   * @param now the current time, in milliseconds
   */
  void onClose(long connection, long now) {
    for (Request request : workload.live()) {
      if (request.answer().peer().filter(peer -> peer.id() == connection).isPresent()) {
        request.answer().detach();
        request.touch(now);
      }
    }
  }

  /**
   * Gives up requests whose router did not come back, and ended ones that nobody acknowledges.
   *
   * @param now the current time, in milliseconds
   */
  void expire(long now) {
    for (Request request : workload.live()) {
      if (request.abandoned(limits.reattachMillis(), now)) {
        giveUp(request, now);
      }
    }
  }

  /**
   * Drops the answer of a request and ends it.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  private void giveUp(Request request, long now) {
    request.answer().silence();
    runner.stop(request, ErrorCode.CANCELLED, now);
    events.onRoom(request, now);
  }
}
