package org.almondslip.execution;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.order.ClaimResult;
import org.almondslip.order.Claims;
import org.almondslip.order.Order;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.quarantine.SuspectRegistry.Verdict;

/** Runs staged requests at the target and ends them. */
final class Runner {

  /** Error detail of a request that ended between its claim and its call. */
  private static final String NOT_SENT = "ended before the call was sent";

  /** Start times of pending claims by request token, in milliseconds. */
  private final Map<Long, Long> claimStartedAt = new HashMap<>();

  /** Incarnation of the agent. */
  private final long incarnation;

  private final AgentEffects effects;

  private final Claims claims;

  private final Workload workload;

  private final Finisher finisher;

  private final TargetEvents events;

  private final CrashWatch crashes;

  /** Listener for the results of claims. */
  private final ClaimListener listener;

  /** Listener for the results of claims. */
  interface ClaimListener {

    /**
     * Handles the result of a claim.
     *
     * @param token the request
     * @param result the result
     */
    void onClaim(long token, ClaimResult result);
  }

  /**
   * Creates a runner.
   *
   * @param incarnation the incarnation of the agent
   * @param effects the operations on the target
   * @param claims the claims of idempotency keys
   * @param workload the requests held by the agent
   * @param finisher the finisher that ends requests
   * @param events the handler of call events
   * @param crashes the crash records and the health of the target
   * @param listener the listener for the results of claims
   */
  Runner(
      long incarnation,
      AgentEffects effects,
      Claims claims,
      Workload workload,
      Finisher finisher,
      TargetEvents events,
      CrashWatch crashes,
      ClaimListener listener) {
    this.incarnation = incarnation;
    this.effects = effects;
    this.claims = claims;
    this.workload = workload;
    this.finisher = finisher;
    this.events = events;
    this.crashes = crashes;
    this.listener = listener;
  }

  /**
   * Starts requests that hold their claim, then staged requests, while slots are free. Claims are
   * made ahead of a free slot because they wait for the table service.
   *
   * @param slots the slots of the target
   * @param now the current time, in milliseconds
   */
  void startStaged(int slots, long now) {
    startReady(slots, now);
    Optional<Request> head = workload.firstStaged();
    while (head.isPresent()
        && crashes.health().usable()
        && !workload.runsExclusive()
        && mayLeaveStage(head.get(), slots)) {
      if (!startHead(head.get(), now)) {
        return;
      }
      head = workload.firstStaged();
    }
  }

  /**
   * Returns whether a staged request may leave the staging queue.
   *
   * @param request the request
   * @param slots the slots of the target
   * @return true if the request needs no slot yet or a slot is free
   */
  private boolean mayLeaveStage(Request request, int slots) {
    return !request.dispatch().getIdempotencyKey().isEmpty() || workload.callingCount() < slots;
  }

  /**
   * Calls the target for requests that hold their claim.
   *
   * @param slots the slots of the target
   * @param now the current time, in milliseconds
   */
  private void startReady(int slots, long now) {
    for (Request request : workload.runningRequests()) {
      if (request.phase() == Request.Phase.READY) {
        if (!crashes.health().usable()) {
          stop(request, ErrorCode.TARGET_UNREACHABLE, now);
        } else if (workload.callingCount() < slots) {
          call(request, now);
        }
      }
    }
  }

  /**
   * Starts or refuses the first staged request.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   * @return false if the request is exclusive and must wait until no other request is running
   */
  private boolean startHead(Request request, long now) {
    Verdict verdict = crashes.verdict(request.dispatch().getFingerprint());
    if (verdict == Verdict.REFUSED) {
      finisher.endNotRun(
          request, ErrorCode.REQUEST_CRASHES_TARGETS, "the request has crashed targets", now);
      return true;
    }
    if (verdict == Verdict.SUSPECT || request.dispatch().getExclusive()) {
      workload.markExclusive(request.token());
      if (workload.runningCount() > 0) {
        return false;
      }
    }
    workload.startFirst();
    if (request.dispatch().getIdempotencyKey().isEmpty()) {
      workload.prefetch().onClaimed(0);
      call(request, now);
    } else {
      claim(request, now);
    }
    return true;
  }

  /**
   * Claims the idempotency key of a request.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  private void claim(Request request, long now) {
    request.enter(Request.Phase.CLAIMING, now);
    claimStartedAt.put(request.token(), now);
    Order order =
        Order.of(request.dispatch(), claimIdentity(request))
            .withDeadlineMillis(request.remainingMillis(now));
    claims.claim(order, result -> listener.onClaim(request.token(), result));
  }

  /**
   * Builds the identifier of a claim. The request id alone is not unique: a router may retry a
   * request at another agent under the same id while this agent is still releasing its claim.
   *
   * @param request the request
   * @return an identifier that is unique among all claims
   */
  private String claimIdentity(Request request) {
    return request.key() + "@" + Long.toUnsignedString(incarnation, 16) + "#" + request.token();
  }

  /**
   * Starts the call of a request.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   */
  private void call(Request request, long now) {
    TargetCall call = TargetCall.of(request.token(), request.dispatch());
    request.enter(Request.Phase.CALLING, now);
    effects.start(call);
  }

  /**
   * Handles the result of a claim.
   *
   * @param token the request
   * @param result the result of the claim
   * @param now the current time, in milliseconds
   */
  void onClaim(long token, ClaimResult result, long now) {
    Request request = workload.running(token).orElseThrow();
    workload.prefetch().onClaimed(now - claimStartedAt.remove(token));
    if (result instanceof ClaimResult.Granted granted) {
      onClaimGranted(request, granted, now);
    } else if (result instanceof ClaimResult.Replay replay) {
      workload.release(request);
      request.enter(Request.Phase.REPLAYING, now);
      request.answer().setStoredBody(replay.answer().body());
      request.onHead(replay.answer().head(), now);
      events.onWindowSpace(request, now);
    } else if (result instanceof ClaimResult.Refused refused) {
      Ran ran = AnswerEnds.toWire(refused.ran());
      finisher.end(request, AnswerEnds.failed(refused.code(), ran, refused.detail(), 0), 0, now);
    }
  }

  /**
   * Makes a claimed request ready to run, or ends it if it was cancelled, is past its deadline or
   * has no usable target.
   *
   * @param request the request
   * @param granted the claim
   * @param now the current time, in milliseconds
   */
  private void onClaimGranted(Request request, ClaimResult.Granted granted, long now) {
    if (request.isPastDeadline(now)) {
      request.markCancelled(ErrorCode.DEADLINE_EXCEEDED);
    }
    if (!crashes.health().usable()) {
      request.markCancelled(ErrorCode.TARGET_UNREACHABLE);
    }
    if (request.cancelCode().isPresent()) {
      claims.release(granted.claim());
      finisher.endNotRun(request, request.cancelCode().get(), NOT_SENT, now);
    } else {
      request.setClaim(granted.claim());
      request.enter(Request.Phase.READY, now);
    }
  }

  /**
   * Stops a request. The call of a claimed request continues until its deadline or the progress
   * limit, so that its answer can be recorded.
   *
   * @param request the request
   * @param code the error code
   * @param now the current time, in milliseconds
   */
  void stop(Request request, ErrorCode code, long now) {
    boolean keepCalling = code != ErrorCode.DEADLINE_EXCEEDED && code != ErrorCode.TARGET_TIMEOUT;
    switch (request.phase()) {
      case STAGED -> finisher.endNotRun(request, code, "ended before it was started", now);
      case CLAIMING -> request.markCancelled(code);
      case READY -> {
        request.claim().ifPresent(claims::release);
        finisher.endNotRun(request, code, NOT_SENT, now);
      }
      case CALLING -> {
        boolean claimed = keepCalling && request.claim().isPresent();
        if (!claimed && request.cancelCode().isEmpty()) {
          request.markCancelled(code);
          effects.cancel(request.token());
        }
      }
      case REPLAYING ->
          finisher.end(request, AnswerEnds.failed(code, Ran.YES, "not sent", 0), 0, now);
      default -> workload.remove(request);
    }
  }
}
