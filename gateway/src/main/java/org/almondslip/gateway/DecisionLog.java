package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.TreeMap;
import org.almondslip.error.ErrorCode;
import org.almondslip.logging.JsonLines;
import org.almondslip.placement.TargetLoad;

/** Logs one line for each decision about a request, and counts the outcomes. */
final class DecisionLog {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Requests by outcome. */
  private final Map<String, Long> outcomes = new TreeMap<>();

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
        .log(
            "sent to %s, send %d, expected wait %.0f ms with %d of %d tokens to read",
            target.target().id(),
            sends,
            waitMillis,
            target.missing(call.decoded().prompt()),
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
    if (!outcome.equals("served")) {
      logger
          .atInfo()
          .with(JsonLines.REQUEST_ID, call.decoded().requestId())
          .log(
              "%s: status %d after %d sends to %s: %s",
              outcome, status, sends, call.service(), detail);
    }
  }

  /**
   * Logs a request that was not accepted.
   *
   * @param code the code of the error
   * @param detail why it was not accepted
   */
  void rejected(ErrorCode code, String detail) {
    outcomes.merge(code.label(), 1L, Long::sum);
    logger.atInfo().log("%s: %s", code.label(), detail);
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
