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

  /** Detail of a request that ended between its claim and its call. */
  private static final String NOT_SENT = "ended before the call was sent";

  /** Start of each claim that has no result, by request, in milliseconds. */
  private final Map<Long, Long> claimedSince = new HashMap<>();

  /** Incarnation of the agent. */
  private final long incarnation;

  /** Actions at the target. */
  private final AgentEffects effects;

  /** Claims of idempotency keys. */
  private final Claims claims;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Ends of requests. */
  private final Finisher finisher;

  /** Events of calls. */
  private final TargetEvents events;

  /** Crash marks and health of the target. */
  private final CrashWatch crashes;

  /** Receiver of the results of claims. */
  private final ClaimListener listener;

  /** Receiver of the results of claims. */
  interface ClaimListener {

    /**
     * A claim has a result.
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
   * @param effects the actions at the target
   * @param claims the claims of idempotency keys
   * @param workload the requests that the agent holds
   * @param finisher the ends of requests
   * @param events the events of calls
   * @param crashes the crash marks and the health of the target
   * @param listener the receiver of the results of claims
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
   * Starts requests that hold their claim, then staged ones, while slots are free. Claims are made
   * ahead of a free slot, since they wait for the table service.
   *
   * @param slots the slots of the target
   * @param now the current time, in milliseconds
   */
  void startStaged(int slots, long now) {
    startReady(slots, now);
    Optional<Request> head = workload.head();
    while (head.isPresent()
        && crashes.health().usable()
        && !workload.runsExclusive()
        && mayLeaveStage(head.get(), slots)) {
      if (!startHead(head.get(), now)) {
        return;
      }
      head = workload.head();
    }
  }

  /**
   * Returns whether a staged request may go on now.
   *
   * @param request the request
   * @param slots the slots of the target
   * @return true when it needs no slot yet or one is free
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
   * @return false when it has to wait until nothing else runs
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
    workload.takeHead();
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
    claimedSince.put(request.token(), now);
    Order order =
        Order.of(request.dispatch(), claimIdentity(request))
            .withDeadlineMillis(request.remaining(now));
    claims.claim(order, result -> listener.onClaim(request.token(), result));
  }

  /**
   * Builds the identity of a claim. The request id alone is not enough: a router may retry a
   * request at another agent under the same id while this agent still releases its claim.
   *
   * @param request the request
   * @return the identity, which no other claim has
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
   * Goes on after a claim.
   *
   * @param token the request
   * @param result the result of the claim
   * @param now the current time, in milliseconds
   */
  void onClaim(long token, ClaimResult result, long now) {
    Request request = workload.running(token).orElseThrow();
    workload.prefetch().onClaimed(now - claimedSince.remove(token));
    if (result instanceof ClaimResult.Granted granted) {
      onClaimGranted(request, granted, now);
    } else if (result instanceof ClaimResult.Replay replay) {
      workload.leave(request);
      request.enter(Request.Phase.REPLAYING, now);
      request.answer().store(replay.answer().body());
      request.onHead(replay.answer().head(), now);
      events.onRoom(request, now);
    } else if (result instanceof ClaimResult.Refused refused) {
      Ran ran = AnswerEnds.toWire(refused.ran());
      finisher.end(request, AnswerEnds.failed(refused.code(), ran, refused.detail(), 0), 0, now);
    }
  }

  /**
   * Lets a claimed request wait for a slot, unless the request must not run any more.
   *
   * @param request the request
   * @param granted the claim
   * @param now the current time, in milliseconds
   */
  private void onClaimGranted(Request request, ClaimResult.Granted granted, long now) {
    if (request.overdue(now)) {
      request.markCancelled(ErrorCode.DEADLINE_EXCEEDED);
    }
    if (!crashes.health().usable()) {
      request.markCancelled(ErrorCode.TARGET_UNREACHABLE);
    }
    if (request.cancelled().isPresent()) {
      claims.release(granted.claim());
      finisher.endNotRun(request, request.cancelled().get(), NOT_SENT, now);
    } else {
      request.hold(granted.claim());
      request.enter(Request.Phase.READY, now);
    }
  }

  /**
   * Ends a request early. The call of a claimed order goes on until its deadline, so that its
   * answer can be recorded.
   *
   * @param request the request
   * @param code why
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
        if (!claimed && request.cancelled().isEmpty()) {
          request.markCancelled(code);
          effects.cancel(request.token());
        }
      }
      case REPLAYING ->
          finisher.end(request, AnswerEnds.failed(code, Ran.YES, "not sent", 0), 0, now);
      default -> workload.forget(request);
    }
  }
}
