package org.almondslip.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.almondslip.dispatch.Job;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.error.ErrorCode;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** One request of a caller from its arrival to its answer. */
final class Forwarding implements Job, TargetCallListener {

  /**
   * Part of the objective within which the target must have read the prompt; the rest covers the
   * first step of the engine and the way back.
   */
  private static final double DUE_PART = 0.85;

  /**
   * Part of the objective that reading the prompt itself may take; a larger prompt is due later, so
   * that its size alone never refuses it.
   */
  private static final double OWN_PART = 0.3;

  /** Part of the objective for which the request waits for a target that keeps shared parts. */
  private static final double PATIENT_PART = 0.7;

  /** What the request needs of its router. */
  private final GatewayParts parts;

  /** Event loop. */
  private final Vertx vertx;

  /** Request. */
  private final CallerCall call;

  /** Answer. */
  private final CallerAnswer answer;

  /** Called once when the request has ended. */
  private final Runnable onEnd;

  /** Targets that the request was sent to. */
  private final Set<String> tried = new HashSet<>();

  /** Timer of the deadline. */
  private final long timer;

  /** Number of sends. */
  private int sends;

  /** Send that is in progress. */
  private Optional<TargetCall> current = Optional.empty();

  /** Id of the last event that was passed on. */
  private Optional<String> lastEventId;

  /** Whether a target may have run the request. */
  private boolean mayHaveRun;

  /** Whether the request has ended. */
  private boolean done;

  /** Why the last send failed. */
  private String lastFailure = "";

  /**
   * Creates a request that is not submitted yet.
   *
   * @param parts what the request needs of its router
   * @param vertx the event loop
   * @param request the request on its connection
   * @param call the request
   * @param answer the answer
   * @param onEnd called once when the request has ended
   */
  Forwarding(
      GatewayParts parts,
      Vertx vertx,
      HttpServerRequest request,
      CallerCall call,
      CallerAnswer answer,
      Runnable onEnd) {
    this.parts = parts;
    this.vertx = vertx;
    this.call = call;
    this.answer = answer;
    this.onEnd = onEnd;
    this.lastEventId = call.decoded().lastEventId();
    long rest = call.deadlineAt() - parts.clock().millis();
    this.timer = vertx.setTimer(Math.max(1, rest), id -> onDeadline());
    request.response().closeHandler(ignored -> onCallerGone());
    request.response().exceptionHandler(ignored -> onCallerGone());
    request.response().drainHandler(ignored -> current.ifPresent(TargetCall::resume));
  }

  /** Submits the request. */
  void start() {
    if (parts.crashes().isQuarantined(call.fingerprint())) {
      finish(ErrorCode.TARGET_FAILED, "the request has crashed targets", OptionalLong.empty());
      return;
    }
    parts.dispatcher().submit(this);
  }

  @Override
  public String organisation() {
    return call.organisationName();
  }

  @Override
  public String service() {
    return call.service();
  }

  @Override
  public String route() {
    return call.route().name();
  }

  @Override
  public Prompt prompt() {
    return call.decoded().prompt();
  }

  @Override
  public Set<String> triedTargets() {
    return tried;
  }

  @Override
  public long dueAt() {
    if (sends > 0) {
      return call.deadlineAt();
    }
    double objective = call.route().objectiveMillis();
    double own = EngineModel.DEFAULT.prefillMillis(prompt().promptTokens());
    double excess = Math.max(0, own - objective * OWN_PART);
    return call.arrivedAt() + (long) (objective * DUE_PART + excess);
  }

  @Override
  public long localityWaitUntil() {
    return call.arrivedAt() + (long) (call.route().objectiveMillis() * PATIENT_PART);
  }

  @Override
  public boolean isRetry() {
    return sends > 0;
  }

  @Override
  public void send(TargetLoad target, double waitMillis) {
    if (done) {
      return;
    }
    sends++;
    tried.add(target.record().id());
    parts.decisions().sent(call, target, sends, waitMillis);
    TargetCall next = new TargetCall(parts, call, target, lastEventId, answer.begun(), this);
    current = Optional.of(next);
    next.start();
  }

  @Override
  public void refuse(RefusalReason reason, long retryAfterMillis) {
    if (mayHaveRun) {
      finish(ErrorCode.TARGET_FAILED, lastFailure, OptionalLong.empty());
      return;
    }
    ErrorCode code =
        reason == RefusalReason.NO_TARGET ? ErrorCode.NO_TARGET : ErrorCode.ROUTER_OVERLOADED;
    String detail =
        String.format(
            Locale.ROOT,
            "%s; %s, %d requests wait, the deadline is %d ms ahead",
            code.title(),
            reason.label(),
            parts.dispatcher().waiting(),
            call.deadlineAt() - parts.clock().millis());
    finish(code, detail, OptionalLong.of(retryAfterMillis));
  }

  @Override
  public void onNotSent(TargetLoad target) {
    sends--;
    mayHaveRun |= answer.begun();
    again("the target could not be connected", ErrorCode.TARGET_UNREACHABLE, false);
  }

  @Override
  public void onNotRun(TargetLoad target) {
    again("the target did not run the request", ErrorCode.ROUTER_OVERLOADED, true);
  }

  @Override
  public void onBroken(TargetLoad target, String reason) {
    mayHaveRun = true;
    lastFailure = reason;
    if (call.route().kind().repeatable()) {
      again(reason, ErrorCode.TARGET_FAILED, true);
    } else {
      finish(ErrorCode.TARGET_FAILED, reason, OptionalLong.empty());
    }
  }

  @Override
  public boolean onFailureAnswer(int status) {
    boolean retry =
        call.route().kind().repeatable()
            && !answer.begun()
            && mayTryAgain()
            && parts.budget(call.service()).tryAcquire(parts.clock().millis());
    if (retry) {
      mayHaveRun = true;
      current = Optional.empty();
      parts.dispatcher().submit(this);
    }
    return retry;
  }

  @Override
  public CallerAnswer answer() {
    return answer;
  }

  @Override
  public void onEvent(String eventId) {
    lastEventId = Optional.of(eventId);
  }

  @Override
  public void onComplete(int status) {
    parts.decisions().ended(call, DecisionLog.SERVED, status, sends, lastFailure);
    end();
  }

  /**
   * Sends the request again where the rules allow it, or ends it.
   *
   * @param reason why the last send failed
   * @param code the error of a request that cannot be sent again
   * @param counted whether the repeat counts against the budget
   */
  private void again(String reason, ErrorCode code, boolean counted) {
    lastFailure = reason;
    current = Optional.empty();
    long now = parts.clock().millis();
    boolean allowed = mayTryAgain() && (!counted || parts.budget(call.service()).tryAcquire(now));
    if (allowed) {
      parts.dispatcher().submit(this);
    } else if (mayHaveRun || code == ErrorCode.TARGET_FAILED) {
      finish(ErrorCode.TARGET_FAILED, reason, OptionalLong.empty());
    } else {
      finish(
          ErrorCode.ROUTER_OVERLOADED, reason, OptionalLong.of(parts.limits().retryAfterMillis()));
    }
  }

  /**
   * Returns whether the request may be sent to another target.
   *
   * @return true when attempts and time are left and another target exists
   */
  private boolean mayTryAgain() {
    return !done
        && !parts.crashes().isQuarantined(call.fingerprint())
        && sends < call.route().maxAttempts()
        && parts.clock().millis() < call.deadlineAt()
        && parts.dispatcher().targets(call.service()).stream()
            .anyMatch(target -> !tried.contains(target.record().id()));
  }

  /** Ends the request at its deadline. */
  private void onDeadline() {
    if (mayHaveRun || current.isPresent()) {
      finish(
          ErrorCode.DEADLINE_EXCEEDED, ErrorCode.DEADLINE_EXCEEDED.title(), OptionalLong.empty());
    } else {
      finish(ErrorCode.ROUTER_OVERLOADED, "no target had room in time", OptionalLong.empty());
    }
  }

  /** Ends the request of a caller that has closed its connection. */
  private void onCallerGone() {
    if (!done) {
      parts.decisions().ended(call, "caller gone", 0, sends, lastFailure);
      end();
    }
  }

  /**
   * Ends the request with an error of this router.
   *
   * @param code the code of the error
   * @param detail what happened
   * @param retryAfterMillis the time after which the caller may come back, in milliseconds
   */
  private void finish(ErrorCode code, String detail, OptionalLong retryAfterMillis) {
    if (done) {
      return;
    }
    parts.decisions().ended(call, code.label(), code.status(), sends, detail);
    end();
    answer.fail(code, detail, retryAfterMillis);
  }

  /** Releases everything that the request holds. */
  private void end() {
    if (done) {
      return;
    }
    done = true;
    vertx.cancelTimer(timer);
    parts.dispatcher().cancel(this);
    current.ifPresent(TargetCall::cancel);
    current = Optional.empty();
    onEnd.run();
  }
}
