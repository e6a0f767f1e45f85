package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.order.Claims;
import org.almondslip.protocol.wire.AnswerHead;

/** Handles the events of calls to the target and forwards answers to the routers. */
final class TargetEvents {

  private final AgentLimits limits;

  private final AgentEffects effects;

  private final Claims claims;

  private final Workload workload;

  private final Finisher finisher;

  private final CrashWatch crashes;

  private final ExecutionCounters counters;

  /**
   * Creates an event handler.
   *
   * @param limits the limits of the agent
   * @param effects the operations on the target
   * @param claims the claims of idempotency keys
   * @param workload the requests held by the agent
   * @param finisher the finisher that ends requests
   * @param crashes the crash records and the health of the target
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
   * Handles the head of a target's answer.
   *
   * @param token the call
   * @param head the head
   * @param now the current time, in milliseconds
   */
  void onHead(long token, AnswerHead head, long now) {
    findCalling(token).ifPresent(request -> request.onHead(head, now));
  }

  /**
   * Handles a chunk of a target's answer.
   *
   * @param token the call
   * @param data the chunk
   * @param now the current time, in milliseconds
   */
  void onData(long token, ByteString data, long now) {
    findCalling(token)
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
   * Handles the end of a target's answer.
   *
   * @param token the call
   * @param now the current time, in milliseconds
   */
  void onEnd(long token, long now) {
    findCalling(token)
        .ifPresent(
            request -> {
              request.claim().ifPresent(claim -> claims.complete(claim, request.recordedAnswer()));
              crashes.health().onEnded(token, true);
              long cost = request.slotMillis(now);
              if (finisher.end(request, AnswerEnds.complete(cost), cost, now)) {
                crashes.clear(request.dispatch().getFingerprint());
              }
            });
  }

  /**
   * Handles the failure of a call.
   *
   * @param token the call
   * @param failure the failure
   * @param now the current time, in milliseconds
   */
  void onFailed(long token, TargetFailure failure, long now) {
    findCalling(token)
        .ifPresent(
            request -> {
              updateHealth(request, failure, now);
              if (!failure.sent()) {
                request.claim().ifPresent(claims::release);
              }
              ErrorCode broken = request.hasHead() ? ErrorCode.STREAM_INTERRUPTED : failure.code();
              long cost = failure.sent() ? request.slotMillis(now) : 0;
              ErrorCode code = request.cancelCode().orElse(broken);
              finisher.end(
                  request,
                  AnswerEnds.failed(code, failure.ran(), failure.detail(), cost),
                  cost,
                  now);
            });
  }

  /**
   * Updates the health of the target after a failed call.
   *
   * @param request the request
   * @param failure the failure
   * @param now the current time, in milliseconds
   */
  private void updateHealth(Request request, TargetFailure failure, long now) {
    TargetHealth health = crashes.health();
    if (failure.kind() == TargetFailure.Kind.NOT_CONNECTED) {
      health.onUnreachable(now);
    } else if (failure.kind() == TargetFailure.Kind.RESET && request.cancelCode().isEmpty()) {
      health.onReset(request.token(), inFlight(), now);
    }
    health.onEnded(request.token(), false);
  }

  /**
   * Returns the calls in flight at the target.
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
   * Resumes an answer after its window has gained space, and removes an ended request once it is
   * acknowledged.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  void onWindowSpace(Request request, long now) {
    if (request.phase() == Request.Phase.REPLAYING) {
      sendStored(request, now);
    }
    if (request.phase() == Request.Phase.CALLING
        && request.paused()
        && request.answer().buffer().bytes() <= limits.windowBytes() / 2) {
      request.setPaused(false, now);
      effects.resume(request.token());
    }
    if (request.phase() == Request.Phase.ENDED && request.answer().buffer().isEmpty()) {
      workload.remove(request);
    }
  }

  /**
   * Sends as much of a stored answer as the window allows and ends the request once it is complete.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  private void sendStored(Request request, long now) {
    if (request.answer().sendStored(limits.windowBytes())) {
      finisher.end(request, AnswerEnds.complete(0), 0, now);
    }
  }

  /**
   * Finds a request that is running at the target.
   *
   * @param token the call
   * @return the request, or empty if the call is not known
   */
  private Optional<Request> findCalling(long token) {
    Optional<Request> request =
        workload.running(token).filter(known -> known.phase() == Request.Phase.CALLING);
    if (request.isEmpty()) {
      counters.add(ExecutionCounters.Count.FRAMES_DROPPED, 1);
    }
    return request;
  }
}
