package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.almondslip.error.ErrorCode;
import org.almondslip.logging.JsonLines;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/** Logs each decision about a request, and records outcomes and response times. */
final class DecisionLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Outcome of a request whose complete response was forwarded. */
  static final String SERVED = "served";

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Minimum interval of log lines about ignored loads, which may come with every response. */
  private static final int IGNORED_LOAD_LOG_SECONDS = 1;

  private final Clock clock;

  private final Histogram responseSeconds;

  /** Number of requests by outcome. */
  private final Map<String, Long> outcomes = new TreeMap<>();

  private final ResidencyLog residency = new ResidencyLog();

  private final Map<AttemptPhase, Long> lostAttempts = new EnumMap<>(AttemptPhase.class);

  /**
   * Creates a log and registers its histogram.
   *
   * @param clock the source of time
   * @param registry the metrics registry of the process
   */
  DecisionLog(Clock clock, PrometheusRegistry registry) {
    this.clock = clock;
    this.responseSeconds =
        Histogram.builder()
            .name("almondslip_gateway_answer_seconds")
            .help("Time to the first event and to the end of served requests")
            .labelNames("phase")
            .classicOnly()
            .register(registry);
  }

  /**
   * Logs that a request is sent to a target.
   *
   * @param inbound the request
   * @param target the target
   * @param attempt the number of the attempt, counted from 1
   * @param expectedDelayMillis the expected time until prefill ends, in milliseconds
   */
  void logAttempt(
      InboundRequest inbound, TargetLoad target, int attempt, double expectedDelayMillis) {
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, inbound.decoded().requestId())
        .with(JsonLines.ORGANISATION, inbound.organisationName())
        .log(
            "sent to target %s (attempt %d) after %d ms; expected delay %.0f ms, %d of %d prompt"
                + " tokens not cached%s",
            target.record().id(),
            attempt,
            clock.millis() - inbound.arrivedAt(),
            expectedDelayMillis,
            target.uncachedTokens(inbound.decoded().prompt()),
            inbound.decoded().prompt().promptTokens(),
            speed(target));
  }

  /** Returns the estimated speed of a target if it decides about the placement. */
  private String speed(TargetLoad target) {
    long now = clock.millis();
    return target.speed().isInForce(now)
        ? String.format(
            "; speed %d permille, work %d %%",
            target.speed().speedPermille(), target.speed().workPercent(now))
        : "";
  }

  /**
   * Logs that the load which a target states in its responses was missing or not plausible.
   *
   * @param target the target
   */
  void logIgnoredLoad(TargetLoad target) {
    logger.atWarning().atMostEvery(IGNORED_LOAD_LOG_SECONDS, TimeUnit.SECONDS).log(
        "load of target %s ignored (ignored_load), it is missing or not plausible",
        target.record().id());
  }

  /**
   * Logs that an attempt was lost after its request was sent, and counts it by its phase.
   *
   * @param inbound the request
   * @param target the target
   * @param phase how far the response had come
   * @param elapsedMillis the time since the start of the attempt, in milliseconds
   * @param reason what happened
   */
  void logLost(
      InboundRequest inbound,
      TargetLoad target,
      AttemptPhase phase,
      long elapsedMillis,
      String reason) {
    lostAttempts.merge(phase, 1L, Long::sum);
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, inbound.decoded().requestId())
        .with(JsonLines.ORGANISATION, inbound.organisationName())
        .log(
            "lost at target %s in phase %s after %d ms: %s; shared segments %s",
            target.record().id(),
            phase.label(),
            elapsedMillis,
            reason,
            inbound.decoded().prompt().sharedSegments().stream()
                .map(segment -> Long.toHexString(segment.id()))
                .toList());
  }

  /** Logs that a target is about to end and receives no further requests. */
  void logLeaving(TargetLoad target) {
    logger.atInfo().log("target %s says that it is leaving", target.record().id());
  }

  /**
   * Logs that a target refused a request and wants no further ones for some time.
   *
   * @param inbound the request
   * @param target the target
   * @param millis the duration in milliseconds
   */
  void logPause(InboundRequest inbound, TargetLoad target, long millis) {
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, inbound.decoded().requestId())
        .with(JsonLines.ORGANISATION, inbound.organisationName())
        .log("target %s asks for a pause of %d ms", target.record().id(), millis);
  }

  /**
   * Logs the end of a request and counts its outcome.
   *
   * @param inbound the request
   * @param outcome the outcome, also a metric label
   * @param status the status code of the response, 0 when there is none
   * @param attempts the number of attempts
   * @param detail why an attempt or the request failed, empty when nothing failed
   */
  void logEnd(InboundRequest inbound, String outcome, int status, int attempts, String detail) {
    outcomes.merge(outcome, 1L, Long::sum);
    long elapsed = clock.millis() - inbound.arrivedAt();
    if (outcome.equals(SERVED)) {
      responseSeconds.labelValues("whole").observe(elapsed / MILLIS_PER_SECOND);
    }
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, inbound.decoded().requestId())
        .with(JsonLines.ORGANISATION, inbound.organisationName())
        .log(
            "%s: status %d, %d attempts, service %s, %d ms%s",
            outcome,
            status,
            attempts,
            inbound.service(),
            elapsed,
            detail.isEmpty() ? "" : ": " + detail);
  }

  /**
   * Creates a listener that logs if the caller of a request that has ended is cut off.
   *
   * @param requestId the id of the request
   * @param organisation the organisation, empty when it is unknown
   */
  CallerResponse.Listener cutOffLog(String requestId, String organisation) {
    return new CallerResponse.Listener() {
      @Override
      public void onDisconnected() {}

      @Override
      public void onResume() {}

      @Override
      public void onCutOff(ResponseMemory.CutOffReason reason, long bytes) {
        logger
            .atInfo()
            .with(JsonLines.REQUEST_ID, requestId)
            .with(JsonLines.ORGANISATION, organisation)
            .log(
                "%s: cut off after the target had responded, %d bytes unsent",
                reason.label(), bytes);
      }
    };
  }

  /** Records the time to the first event of a stream. */
  void recordFirstEvent(InboundRequest inbound) {
    responseSeconds
        .labelValues("first")
        .observe((clock.millis() - inbound.arrivedAt()) / MILLIS_PER_SECOND);
  }

  /**
   * Logs a request that was not accepted and counts its error code as the outcome.
   *
   * @param code the code of the error
   * @param detail the explanation
   * @param requestId the id of the request, empty when it is unknown
   * @param organisation the organisation, empty when it is unknown
   */
  void logRejected(ErrorCode code, String detail, String requestId, String organisation) {
    outcomes.merge(code.label(), 1L, Long::sum);
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, requestId)
        .with(JsonLines.ORGANISATION, organisation)
        .log("%s: %s", code.label(), detail);
  }

  /** Returns the log of requests that were kept from targets by region rules and evacuations. */
  ResidencyLog residency() {
    return residency;
  }

  /** Returns the number of lost attempts by phase. */
  Map<AttemptPhase, Long> lostAttempts() {
    return lostAttempts;
  }

  /** Returns the number of requests by outcome. */
  Map<String, Long> outcomes() {
    return outcomes;
  }
}
