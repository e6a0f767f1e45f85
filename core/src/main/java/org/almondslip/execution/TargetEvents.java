package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.order.Claims;
import org.almondslip.protocol.wire.AnswerHead;

/** Takes what calls at the target yield and passes it on to the routers. */
final class TargetEvents {

  /** Limits of the agent. */
  private final AgentLimits limits;

  /** Actions at the target. */
  private final AgentEffects effects;

  /** Claims of idempotency keys. */
  private final Claims claims;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Ends of requests. */
  private final Finisher finisher;

  /** Crash marks and health of the target. */
  private final CrashWatch crashes;

  /** Counters of the agent. */
  private final ExecutionCounters counters;

  /**
   * Creates a receiver of events.
   *
   * @param limits the limits of the agent
   * @param effects the actions at the target
   * @param claims the claims of idempotency keys
   * @param workload the requests that the agent holds
   * @param finisher the ends of requests
   * @param crashes the crash marks and the health of the target
   * @param counters the counters of the agent
   */
  TargetEvents(
      AgentLimits limits,
      AgentEffects effects,
      Claims claims,
      Workload workload,
      Finisher finisher,
      CrashWatch crashes,
      ExecutionCounters counters) {
    this.limits = limits;
    this.effects = effects;
    this.claims = claims;
    this.workload = workload;
    this.finisher = finisher;
    this.crashes = crashes;
    this.counters = counters;
  }

  /**
   * Takes the head of a target's answer.
   *
   * @param token the call
   * @param head the head
   * @param now the current time, in milliseconds
   */
  void onHead(long token, AnswerHead head, long now) {
    calling(token).ifPresent(request -> request.onHead(head, now));
  }

  /**
   * Takes a piece of a target's answer.
   *
   * @param token the call
   * @param data the piece
   * @param now the current time, in milliseconds
   */
  void onData(long token, ByteString data, long now) {
    calling(token)
        .ifPresent(
            request -> {
              request.onData(data, now);
              if (!request.paused() && request.answer().buffer().bytes() >= limits.windowBytes()) {
                request.setPaused(true, now);
                effects.pause(token);
              }
            });
  }

  /**
   * Takes the end of a target's answer.
   *
   * @param token the call
   * @param now the current time, in milliseconds
   */
  void onEnd(long token, long now) {
    calling(token)
        .ifPresent(
            request -> {
              request.claim().ifPresent(claim -> claims.complete(claim, request.recordedAnswer()));
              crashes.health().onEnded(token, true);
              long cost = request.elapsed(now);
              if (finisher.end(request, AnswerEnds.complete(cost), cost, now)) {
                crashes.clear(request.dispatch().getFingerprint());
              }
            });
  }

  /**
   * Takes the failure of a call.
   *
   * @param token the call
   * @param failure the failure
   * @param now the current time, in milliseconds
   */
  void onFailed(long token, TargetFailure failure, long now) {
    calling(token)
        .ifPresent(
            request -> {
              observe(request, failure, now);
              if (!failure.sent()) {
                request.claim().ifPresent(claims::release);
              }
              ErrorCode broken = request.answered() ? ErrorCode.STREAM_INTERRUPTED : failure.code();
              long cost = failure.sent() ? request.elapsed(now) : 0;
              ErrorCode code = request.cancelled().orElse(broken);
              finisher.end(
                  request,
                  AnswerEnds.failed(code, failure.ran(), failure.detail(), cost),
                  cost,
                  now);
            });
  }

  /**
   * Draws conclusions about the target from a failure.
   *
   * @param request the request
   * @param failure the failure
   * @param now the current time, in milliseconds
   */
  private void observe(Request request, TargetFailure failure, long now) {
    TargetHealth health = crashes.health();
    if (failure.kind() == TargetFailure.Kind.NOT_CONNECTED) {
      health.onUnreachable(now);
    } else if (failure.kind() == TargetFailure.Kind.RESET && request.cancelled().isEmpty()) {
      health.onReset(request.token(), inFlight(), now);
    }
    health.onEnded(request.token(), false);
  }

  /**
   * Returns the calls at the target.
   *
   * @return their fingerprints by token
   */
  private Map<Long, Long> inFlight() {
    Map<Long, Long> fingerprints = new HashMap<>();
    for (Request request : workload.runningRequests()) {
      if (request.phase() == Request.Phase.CALLING) {
        fingerprints.put(request.token(), request.dispatch().getFingerprint());
      }
    }
    return fingerprints;
  }

  /**
   * Goes on sending an answer after an acknowledgement made room.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  void onRoom(Request request, long now) {
    if (request.phase() == Request.Phase.REPLAYING) {
      pumpStored(request, now);
    }
    if (request.phase() == Request.Phase.CALLING
        && request.paused()
        && request.answer().buffer().bytes() <= limits.windowBytes() / 2) {
      request.setPaused(false, now);
      effects.resume(request.token());
    }
    if (request.phase() == Request.Phase.ENDED && request.answer().buffer().isEmpty()) {
      workload.forget(request);
    }
  }

  /**
   * Sends what the window allows of a stored answer.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  private void pumpStored(Request request, long now) {
    if (request.answer().pump(limits.windowBytes())) {
      finisher.end(request, AnswerEnds.complete(0), 0, now);
    }
  }

  /**
   * Finds a request at the target.
   *
   * @param token the call
   * @return the request, or empty when the call is not known
   */
  private Optional<Request> calling(long token) {
    Optional<Request> request =
        workload.running(token).filter(known -> known.phase() == Request.Phase.CALLING);
    if (request.isEmpty()) {
      counters.add(ExecutionCounters.Count.FRAMES_DROPPED, 1);
    }
    return request;
  }
}
