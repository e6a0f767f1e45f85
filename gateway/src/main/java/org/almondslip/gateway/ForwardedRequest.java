package org.almondslip.gateway;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.almondslip.directory.RequestRegions;
import org.almondslip.dispatch.Exclusion;
import org.almondslip.dispatch.Job;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.error.ErrorCode;
import org.almondslip.pace.ColdPermit;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Forwards a request of a caller to targets, with retries, until its response or error is sent. */
final class ForwardedRequest implements Job, TargetAttemptListener, CallerResponse.Listener {

  /**
   * Fraction of the latency objective within which prefill must end. The rest is left for the first
   * step of the engine and the way back.
   */
  private static final double DUE_FRACTION = 0.85;

  /**
   * Fraction of the latency objective that prefill itself may take. A prompt that takes longer is
   * due later, so that its size alone never causes a refusal.
   */
  private static final double PREFILL_FRACTION = 0.3;

  /**
   * Fraction of the latency objective for which the request waits for a target that caches parts of
   * its prompt.
   */
  private static final double LOCALITY_WAIT_FRACTION = 0.7;

  private final ForwardingContext context;

  private final Vertx vertx;

  private final InboundRequest inbound;

  private final CallerResponse response;

  private final RequestRegions regions;

  private final Consumer<ForwardedRequest> onEnd;

  /** Ids of the targets of all attempts. */
  private final Set<String> triedTargets = new HashSet<>();

  private final long deadlineTimer;

  /** Number of attempts, not counting those that failed to connect. */
  private int attempts;

  private Optional<TargetAttempt> currentAttempt = Optional.empty();

  /** Id of the last event that was forwarded, or that the caller received of an earlier stream. */
  private Optional<String> lastEventId;

  /** Whether a target may have run the request. */
  private boolean mayHaveRun;

  private boolean ended;

  /** Why the last attempt failed, empty when none has failed. */
  private String lastFailure = "";

  /**
   * Creates a forwarded request and starts the timer of its deadline. The request is not submitted
   * before {@link #start}.
   *
   * @param context the shared components of the router
   * @param vertx the event loop
   * @param inbound the decoded request
   * @param response the response
   * @param regions the regions in which the request may be served
   * @param onEnd called once when the request has ended
   */
  ForwardedRequest(
      ForwardingContext context,
      Vertx vertx,
      InboundRequest inbound,
      CallerResponse response,
      RequestRegions regions,
      Consumer<ForwardedRequest> onEnd) {
    this.context = context;
    this.vertx = vertx;
    this.inbound = inbound;
    this.response = response;
    this.regions = regions;
    this.onEnd = onEnd;
    this.lastEventId = inbound.decoded().lastEventId();
    long remainingMillis = inbound.deadlineAt() - context.clock().millis();
    this.deadlineTimer = vertx.setTimer(Math.max(1, remainingMillis), id -> onDeadline());
    response.setListener(this);
  }

  /**
   * Submits the request to the dispatcher, or fails it when it is quarantined or its deadline
   * passed before its body was complete.
   */
  void start() {
    if (context.clock().millis() >= inbound.deadlineAt()) {
      fail(
          ErrorCode.ROUTER_OVERLOADED,
          "the deadline passed before the request was read",
          OptionalLong.of(context.dispatchLimits().retryAfterMillis()));
      return;
    }
    if (context.crashQuarantine().isQuarantined(inbound.fingerprint())) {
      fail(ErrorCode.TARGET_FAILED, "the request has crashed targets", OptionalLong.empty());
      return;
    }
    context.dispatcher().submit(this);
  }

  @Override
  public String organisation() {
    return inbound.organisationName();
  }

  @Override
  public String service() {
    return inbound.service();
  }

  @Override
  public String route() {
    return inbound.route().name();
  }

  @Override
  public Prompt prompt() {
    return inbound.decoded().prompt();
  }

  @Override
  public Set<String> triedTargets() {
    return triedTargets;
  }

  @Override
  public boolean permits(TargetLoad target) {
    return Job.super.permits(target) && regions.permits(target.record());
  }

  @Override
  public boolean isRestricted() {
    return regions.allowed().isRestricted();
  }

  @Override
  public long dueAt() {
    if (attempts > 0) {
      return inbound.deadlineAt();
    }
    double objective = inbound.route().objectiveMillis();
    double prefill = EngineModel.DEFAULT.prefillMillis(prompt().promptTokens());
    double excess = Math.max(0, prefill - objective * PREFILL_FRACTION);
    return inbound.arrivedAt() + (long) (objective * DUE_FRACTION + excess);
  }

  @Override
  public long localityWaitUntil() {
    return inbound.arrivedAt()
        + (long) (inbound.route().objectiveMillis() * LOCALITY_WAIT_FRACTION);
  }

  @Override
  public boolean isRetry() {
    return attempts > 0;
  }

  @Override
  public boolean isQuarantined() {
    return context.segmentQuarantine().blockedMillis(prompt()).isPresent();
  }

  @Override
  public void send(TargetLoad target, double expectedDelayMillis) {
    if (ended) {
      return;
    }
    attempts++;
    context.segmentQuarantine().onSent(prompt());
    triedTargets.add(target.record().id());
    context.decisionLog().logAttempt(inbound, target, attempts, expectedDelayMillis);
    TargetAttempt next =
        new TargetAttempt(context, inbound, target, lastEventId, response.started(), this);
    currentAttempt = Optional.of(next);
    next.start();
  }

  @Override
  public void refuse(RefusalReason reason, long retryAfterMillis) {
    if (mayHaveRun) {
      fail(ErrorCode.TARGET_FAILED, lastFailure, OptionalLong.empty());
      return;
    }
    if (reason == RefusalReason.QUARANTINED) {
      fail(
          ErrorCode.PROMPT_QUARANTINED,
          ErrorCode.PROMPT_QUARANTINED.title(),
          context.segmentQuarantine().blockedMillis(prompt()));
      return;
    }
    Optional<Exclusion> exclusion =
        reason == RefusalReason.NO_TARGET ? exclusion() : Optional.empty();
    exclusion.ifPresent(context.decisionLog().residency()::onRefused);
    ErrorCode code =
        reason == RefusalReason.NO_TARGET ? ErrorCode.NO_TARGET : ErrorCode.ROUTER_OVERLOADED;
    String detail =
        String.format(
            Locale.ROOT,
            "%s; %s%s, %d requests wait, the deadline is %d ms ahead",
            code.title(),
            reason.label(),
            exclusion.map(why -> " (" + why.label() + ")").orElse(""),
            context.dispatcher().waiting(),
            inbound.deadlineAt() - context.clock().millis());
    fail(code, detail, OptionalLong.of(retryAfterMillis));
  }

  @Override
  public Optional<String> withholdReason(TargetLoad target, ColdPermit permit) {
    if (!regions.permits(target.record())) {
      context.decisionLog().residency().onWithheld(inbound, target, Exclusion.REGION);
      return Optional.of("the region of the target is not allowed");
    }
    if (target.isEvacuated()) {
      context.decisionLog().residency().onWithheld(inbound, target, Exclusion.EVACUATION);
      return Optional.of("the data centre of the target is evacuated");
    }
    return target.acceptsDispatched(permit, context.clock().millis())
        ? Optional.empty()
        : Optional.of("the target has asked for no further requests");
  }

  @Override
  public void onNotSent(TargetLoad target, String reason) {
    attempts--;
    mayHaveRun |= response.started();
    retryOrFail(reason, ErrorCode.TARGET_UNREACHABLE, false);
  }

  @Override
  public void onNotExecuted(TargetLoad target) {
    retryOrFail("the target did not run the request", ErrorCode.ROUTER_OVERLOADED, true);
  }

  @Override
  public void onResponseLost(TargetLoad target, String reason) {
    mayHaveRun = true;
    lastFailure = reason;
    if (inbound.route().kind().repeatable()) {
      retryOrFail(reason, ErrorCode.TARGET_FAILED, true);
    } else {
      fail(ErrorCode.TARGET_FAILED, reason, OptionalLong.empty());
    }
  }

  @Override
  public boolean onServerError(int status) {
    boolean retry =
        inbound.route().kind().repeatable()
            && !response.started()
            && canRetry()
            && context.retryLimiter(inbound.service()).tryAcquire(context.clock().millis());
    if (retry) {
      mayHaveRun = true;
      currentAttempt = Optional.empty();
      context.dispatcher().submit(this);
    }
    return retry;
  }

  @Override
  public CallerResponse response() {
    return response;
  }

  @Override
  public void onEventForwarded(String eventId) {
    lastEventId = Optional.of(eventId);
  }

  @Override
  public void onComplete(int status) {
    if (ended) {
      // The caller was cut off since there was no memory for the rest of the response.
      return;
    }
    context.decisionLog().logEnd(inbound, DecisionLog.SERVED, status, attempts, lastFailure);
    end();
  }

  /**
   * Submits the request again when a retry is allowed, and fails it otherwise.
   *
   * @param reason why the last attempt failed
   * @param code TARGET_FAILED when the request may have run; a failure with another code is
   *     reported as ROUTER_OVERLOADED unless an earlier attempt may have run
   * @param limited whether the retry counts against the retry limit
   */
  private void retryOrFail(String reason, ErrorCode code, boolean limited) {
    lastFailure = reason;
    currentAttempt = Optional.empty();
    long now = context.clock().millis();
    boolean allowed =
        canRetry() && (!limited || context.retryLimiter(inbound.service()).tryAcquire(now));
    if (allowed) {
      context.dispatcher().submit(this);
    } else if (mayHaveRun || code == ErrorCode.TARGET_FAILED) {
      fail(ErrorCode.TARGET_FAILED, reason, OptionalLong.empty());
    } else if (exclusion().isPresent()) {
      refuse(RefusalReason.NO_TARGET, context.dispatcher().retryAfterMillis(inbound.service()));
    } else {
      fail(
          ErrorCode.ROUTER_OVERLOADED,
          reason,
          OptionalLong.of(context.dispatcher().retryAfterMillis(inbound.service())));
    }
  }

  /** Returns why the request can be sent to no target, empty if it may wait for one. */
  private Optional<Exclusion> exclusion() {
    return Exclusion.of(this, context.dispatcher().targets(inbound.service()));
  }

  /** Returns whether attempts and time are left and a target in service is permitted. */
  private boolean canRetry() {
    return !ended
        && !context.crashQuarantine().isQuarantined(inbound.fingerprint())
        && !isQuarantined()
        && attempts < inbound.route().maxAttempts()
        && context.clock().millis() < inbound.deadlineAt()
        && context.dispatcher().targets(inbound.service()).stream()
            .anyMatch(target -> target.isInService() && permits(target));
  }

  private void onDeadline() {
    if (mayHaveRun || currentAttempt.isPresent()) {
      fail(ErrorCode.DEADLINE_EXCEEDED, ErrorCode.DEADLINE_EXCEEDED.title(), OptionalLong.empty());
    } else {
      fail(ErrorCode.ROUTER_OVERLOADED, "no target had room in time", OptionalLong.empty());
    }
  }

  /** Refuses the request if it waits for a target, since the router stops. */
  void refuseIfWaiting() {
    if (currentAttempt.isEmpty()) {
      endForStop();
    }
  }

  /** Ends the request, since the router stops before its target has answered. */
  void endForStop() {
    if (mayHaveRun || currentAttempt.isPresent()) {
      fail(ErrorCode.TARGET_FAILED, "the router stops before the target", OptionalLong.empty());
    } else {
      fail(
          ErrorCode.DRAINING,
          ErrorCode.DRAINING.title(),
          OptionalLong.of(context.dispatchLimits().retryAfterMillis()));
    }
  }

  @Override
  public void onDisconnected() {
    if (!ended) {
      context.decisionLog().logEnd(inbound, "caller gone", 0, attempts, lastFailure);
      end();
    }
  }

  @Override
  public void onResume() {
    currentAttempt.ifPresent(TargetAttempt::resume);
  }

  @Override
  public void onCutOff(ResponseMemory.CutOffReason reason, long bytes) {
    if (!ended) {
      String detail = "the caller reads too slowly, " + bytes + " bytes unsent";
      context.decisionLog().logEnd(inbound, reason.label(), 0, attempts, detail);
      end();
    }
  }

  /**
   * Ends the request with an error of this router.
   *
   * @param code the code of the error
   * @param detail the explanation
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   */
  private void fail(ErrorCode code, String detail, OptionalLong retryAfterMillis) {
    if (ended) {
      return;
    }
    context.decisionLog().logEnd(inbound, code.label(), code.status(), attempts, detail);
    end();
    response.fail(code, detail, retryAfterMillis);
  }

  /** Cancels the timer, the waiting job and the current attempt. */
  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    vertx.cancelTimer(deadlineTimer);
    context.dispatcher().cancel(this);
    currentAttempt.ifPresent(TargetAttempt::cancel);
    currentAttempt = Optional.empty();
    // The body of the request must not stay in memory while the caller reads the response.
    response.setListener(
        context.decisionLog().cutOffLog(inbound.decoded().requestId(), inbound.organisationName()));
    onEnd.accept(this);
  }
}
