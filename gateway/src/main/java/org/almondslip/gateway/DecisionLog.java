package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.almondslip.error.ErrorCode;
import org.almondslip.logging.JsonLines;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/** Logs one line for each decision about a request, and counts the outcomes. */
final class DecisionLog {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Outcome of a request whose whole answer was passed on. */
  static final String SERVED = "served";

  /** Milliseconds in a second. */
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Source of time. */
  private final Clock clock;

  /** Time to the first event and to the end of served requests. */
  private final Histogram answerSeconds;

  /** Requests by outcome. */
  private final Map<String, Long> outcomes = new TreeMap<>();

  /**
   * Creates a log.
   *
   * @param clock the source of time
   * @param registry the metrics of the process
   */
  DecisionLog(Clock clock, PrometheusRegistry registry) {
    this.clock = clock;
    this.answerSeconds =
        Histogram.builder()
            .name("almondslip_gateway_answer_seconds")
            .help("Time to the first event and to the end of served requests")
            .labelNames("phase")
            .classicOnly()
            .register(registry);
  }

  /**
   * Logs that a request is sent.
   *
   * @param call the request
   * @param target the target
   * @param sends the number of sends so far
   * @param waitMillis the expected time until the target has read the prompt, in milliseconds
   */
  void sent(CallerCall call, TargetLoad target, int sends, double waitMillis) {
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, call.decoded().requestId())
        .with(JsonLines.ORGANISATION, call.organisationName())
        .log(
            "sent to %s, send %d after %d ms, expected wait %.0f ms with %d of %d tokens to read",
            target.record().id(),
            sends,
            clock.millis() - call.arrivedAt(),
            waitMillis,
            target.uncachedTokens(call.decoded().prompt()),
            call.decoded().prompt().promptTokens());
  }

  /**
   * Logs the end of a request.
   *
   * @param call the request
   * @param outcome what became of it
   * @param status the status of the answer, 0 when there is none
   * @param sends the number of sends
   * @param detail why it failed, empty when it was served
   */
  void ended(CallerCall call, String outcome, int status, int sends, String detail) {
    outcomes.merge(outcome, 1L, Long::sum);
    long elapsed = clock.millis() - call.arrivedAt();
    if (outcome.equals(SERVED)) {
      answerSeconds.labelValues("whole").observe(elapsed / MILLIS_PER_SECOND);
    }
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, call.decoded().requestId())
        .with(JsonLines.ORGANISATION, call.organisationName())
        .log(
            "%s: status %d after %d sends to %s and %d ms%s",
            outcome, status, sends, call.service(), elapsed, detail.isEmpty() ? "" : ": " + detail);
  }

  /**
   * Notes the first event of a stream.
   *
   * @param call the request
   */
  void firstEvent(CallerCall call) {
    answerSeconds
        .labelValues("first")
        .observe((clock.millis() - call.arrivedAt()) / MILLIS_PER_SECOND);
  }

  /**
   * Logs a request that was not accepted.
   *
   * @param code the code of the error
   * @param detail why it was not accepted
   * @param requestId the id of the request, empty when it is not known
   * @param organisation the organisation, empty when it is not known
   */
  void rejected(ErrorCode code, String detail, String requestId, String organisation) {
    outcomes.merge(code.label(), 1L, Long::sum);
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, requestId)
        .with(JsonLines.ORGANISATION, organisation)
        .log("%s: %s", code.label(), detail);
  }

  /**
   * Returns the requests by outcome.
   *
   * @return the counts
   */
  Map<String, Long> outcomes() {
    return outcomes;
  }
}
