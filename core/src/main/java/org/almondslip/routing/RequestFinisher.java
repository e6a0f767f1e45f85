package org.almondslip.routing;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Cancel;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.quarantine.SuspectRegistry.Verdict;

/** Completes attempts, and retries or completes their requests. */
final class RequestFinisher {

  /** Errors after which the same request can succeed later. */
  private static final Set<ErrorCode> TEMPORARY =
      EnumSet.of(
          ErrorCode.STILL_RUNNING,
          ErrorCode.TARGET_UNREACHABLE,
          ErrorCode.ROUTER_OVERLOADED,
          ErrorCode.DRAINING,
          ErrorCode.NOT_READY,
          ErrorCode.NO_TARGET,
          ErrorCode.ORDER_STORE_UNAVAILABLE,
          ErrorCode.DEADLINE_EXCEEDED);

  private final RouterState state;

  private final OfferPlanner planner;

  RequestFinisher(RouterState state, OfferPlanner planner) {
    this.state = state;
    this.planner = planner;
  }

  /**
   * Ends an attempt whose answer is complete, and completes its request.
   *
   * @param attempt the attempt
   * @param end the end of the answer
   */
  void succeed(Attempt attempt, AnswerEnd end) {
    PendingRequest pending = attempt.pending();
    state.inFlight().remove(attempt);
    state.ejector().onSuccess(attempt.target());
    state.suspects().onSuccess(pending.fingerprint());
    if (end.getCostMs() > 0) {
      state
          .costs()
          .onCost(
              pending.flow().id(),
              pending.request().hintMillis(),
              Integer.toUnsignedLong(end.getCostMs()));
    }
    if (!attempt.abandoned()) {
      state.requests().end(pending, Outcome.COMPLETE);
    }
  }

  /**
   * Ends a failed attempt, and retries its request if allowed or else ends it with an error.
   *
   * @param attempt the attempt
   * @param failure why it ended
   * @param now the current time, in milliseconds
   */
  void fail(Attempt attempt, Failure failure, long now) {
    PendingRequest pending = attempt.pending();
    state.inFlight().remove(attempt);
    if (failure.countsAgainstTarget()
        && state.ejector().onFailure(attempt.target(), pending.fingerprint(), now)) {
      state.counters().count(RoutingCounters.Event.EJECTION);
    }
    if (attempt.abandoned()) {
      return;
    }
    pending.attemptFailed(failure.ran());
    if (state.suspects().verdict(pending.fingerprint()) == Verdict.REFUSED) {
      refuseCrashingRequest(pending);
    } else if (mayRetry(pending, failure, now) && acquireRetryToken(failure, now)) {
      retry(pending, now);
    } else {
      endWithFailure(pending, failure);
    }
  }

  /**
   * Ends an attempt whose agent has been lost, and retries or ends its request.
   *
   * @param attempt the attempt
   * @param now the current time, in milliseconds
   */
  void failLostAgent(Attempt attempt, long now) {
    state.counters().count(RoutingCounters.Event.AGENT_LOST);
    fail(attempt, Failure.unknown(ErrorCode.AGENT_LOST, "the agent was lost"), now);
  }

  /**
   * Refuses the queued requests that have crashed too many targets.
   *
   * @param now the current time, in milliseconds
   */
  void refuseCrashingRequests(long now) {
    for (FlowQueue queue : state.queues().all()) {
      List<PendingRequest> refused =
          state
              .queues()
              .removeIf(
                  queue,
                  pending -> state.suspects().verdict(pending.fingerprint()) == Verdict.REFUSED);
      if (!refused.isEmpty()) {
        refused.forEach(this::refuseCrashingRequest);
        planner.plan(queue, now);
      }
    }
  }

  /**
   * Ends a request with an error and cancels its attempt.
   *
   * @param pending the request
   * @param code the code of the error
   * @param detail what happened
   * @param now the current time, in milliseconds
   */
  void abort(PendingRequest pending, ErrorCode code, String detail, long now) {
    Outcome outcome = outcome(pending, new Failure(code, detail, pending.ran(), 0));
    stop(pending, now);
    state.requests().end(pending, outcome);
  }

  /**
   * Removes a request from its queue, or cancels its attempt.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  void stop(PendingRequest pending, long now) {
    state.queues().remove(pending);
    pending.attempt().ifPresent(attempt -> cancel(attempt, now));
  }

  /**
   * Cancels an attempt whose result is no longer needed.
   *
   * @param attempt the attempt
   * @param now the current time, in milliseconds
   */
  private void cancel(Attempt attempt, long now) {
    attempt.abandon(now);
    sendCancel(attempt);
  }

  /**
   * Sends a cancellation to the agent of an attempt, if the agent is connected.
   *
   * @param attempt the attempt
   */
  void sendCancel(Attempt attempt) {
    Frame frame =
        Frame.newBuilder().setCancel(Cancel.newBuilder().setRequestId(attempt.id())).build();
    state.agents().find(attempt.connection()).ifPresent(link -> link.peer().send(frame));
  }

  /**
   * Returns whether a request may be retried.
   *
   * @param pending the request, whose attempt has ended
   * @param failure why the attempt ended
   * @param now the current time, in milliseconds
   * @return true when the deadline, the number of attempts, idempotency and the bytes sent so far
   *     allow it
   */
  private boolean mayRetry(PendingRequest pending, Failure failure, long now) {
    if (!failure.isTransient()
        || pending.attempts() >= state.settings().maxAttempts()
        || now >= pending.deadline()) {
      return false;
    }
    if (!pending.idempotent()) {
      return !pending.headSent() && pending.ran() == Ran.NO;
    }
    return !pending.headSent() || pending.events().filter(EventSplitter::resumable).isPresent();
  }

  /**
   * Takes a token from the retry budget, if the failure consumes one.
   *
   * @param failure why the attempt ended
   * @param now the current time, in milliseconds
   * @return true when the retry needs no token or a token was available
   */
  private boolean acquireRetryToken(Failure failure, long now) {
    if (!failure.consumesRetryBudget() || state.budget().tryAcquire(now)) {
      return true;
    }
    state.counters().count(RoutingCounters.Event.RETRY_REFUSED);
    return false;
  }

  /**
   * Puts a request back in its queue.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  private void retry(PendingRequest pending, long now) {
    state
        .counters()
        .count(pending.headSent() ? RoutingCounters.Event.RESUME : RoutingCounters.Event.RETRY);
    state.queues().addFirst(pending, now);
    planner.plan(state.queues().of(pending.flow()), now);
  }

  /**
   * Ends a request that is not retried.
   *
   * @param pending the request
   * @param failure why its last attempt ended
   */
  private void endWithFailure(PendingRequest pending, Failure failure) {
    state.requests().end(pending, outcome(pending, failure));
  }

  /**
   * Refuses a request that has crashed too many targets.
   *
   * @param pending the request
   */
  private void refuseCrashingRequest(PendingRequest pending) {
    state
        .requests()
        .end(
            pending,
            Outcome.failed(
                ErrorCode.REQUEST_CRASHES_TARGETS,
                "targets have ended while they ran this request",
                pending.ran()));
  }

  /**
   * Builds the final result of a failed request.
   *
   * @param pending the request
   * @param failure why it failed
   * @return the result, with a retry time when a retry is safe and can succeed
   */
  private Outcome outcome(PendingRequest pending, Failure failure) {
    boolean interrupted = pending.headSent() && failure.isTransient();
    ErrorCode code = interrupted ? ErrorCode.STREAM_INTERRUPTED : failure.code();
    Ran ran = pending.headSent() ? Ran.UNKNOWN : pending.ran();
    Outcome outcome = Outcome.failed(code, failure.detail(), ran);
    boolean safeToRepeat =
        ran == Ran.NO || pending.idempotent() || !pending.request().idempotencyKey().isEmpty();
    if (!safeToRepeat || !TEMPORARY.contains(code)) {
      return outcome;
    }
    Optional<FlowQueue> queue = state.queues().find(pending.flow().id());
    long millis = queue.map(QueueAdmission::retryAfterMillis).orElse(0L);
    return outcome.withRetryAfter(Math.max(millis, failure.retryAfterMillis()));
  }
}
