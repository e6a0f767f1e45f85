package org.almondslip.routing;

import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;

/**
 * Final result of a caller's request.
 *
 * @param failure the error code, empty when the complete answer has been forwarded
 * @param detail what happened, in one sentence
 * @param ran whether the request was executed
 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; empty when the
 *     request should not be retried
 */
public record Outcome(
    Optional<ErrorCode> failure, String detail, Ran ran, Optional<Long> retryAfterMillis) {

  /** Outcome of a request whose complete answer has been forwarded. */
  public static final Outcome COMPLETE =
      new Outcome(Optional.empty(), "", Ran.YES, Optional.empty());

  /**
   * Creates a refusal of a request that was not executed.
   *
   * @param code the code of the error
   * @param detail what happened
   * @return the outcome
   */
  public static Outcome notRun(ErrorCode code, String detail) {
    return failed(code, detail, Ran.NO);
  }

  /**
   * Creates a failure.
   *
   * @param code the code of the error
   * @param detail what happened
   * @param ran whether the request was executed
   * @return the outcome
   */
  public static Outcome failed(ErrorCode code, String detail, Ran ran) {
    return new Outcome(Optional.of(code), detail, ran, Optional.empty());
  }

  /**
   * Returns the outcome with a retry time.
   *
   * @param millis the time in milliseconds
   * @return the new outcome
   */
  public Outcome withRetryAfter(long millis) {
    return new Outcome(failure, detail, ran, Optional.of(millis));
  }

  /**
   * Returns the label of the outcome in metrics.
   *
   * @return the label of the code, {@code ok} without one
   */
  public String label() {
    return failure.map(ErrorCode::label).orElse("ok");
  }
}
