package org.almondslip.router;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.routing.Outcome;

/** Sends problem documents. */
final class Refusal {

  /** Not instantiable. */
  private Refusal() {}

  /**
   * Sends a failure as the whole answer.
   *
   * @param response the answer, whose head has not been sent
   * @param outcome the failure
   * @return when it has been sent
   */
  static Future<Void> send(HttpServerResponse response, Outcome outcome) {
    response
        .setStatusCode(Problem.codeOf(outcome).status())
        .putHeader("Content-Type", Problem.MEDIA_TYPE);
    outcome
        .retryAfterMillis()
        .ifPresent(
            millis -> response.putHeader("Retry-After", Long.toString(Problem.toSeconds(millis))));
    if (Problem.codeOf(outcome) == ErrorCode.UNAUTHORIZED) {
      response.putHeader("WWW-Authenticate", "Bearer");
    }
    if (Problem.codeOf(outcome) == ErrorCode.DRAINING) {
      // The caller's next request has to find another router.
      response.putHeader("Connection", "close");
    }
    return response.end(Problem.toJson(outcome));
  }

  /**
   * Converts a fault in a request to a refusal.
   *
   * @param fault the fault
   * @return the refusal; the request has not run
   */
  static Outcome of(AlmondslipException fault) {
    return Outcome.notRun(fault.code(), fault.getMessage());
  }
}
