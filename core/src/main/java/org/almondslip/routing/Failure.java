package org.almondslip.routing;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.protocol.wire.AnswerEnd;

/**
 * Reason why an attempt ended without a complete answer.
 *
 * @param code the code of the error
 * @param detail what happened
 * @param ran whether the attempt was executed
 * @param retryAfterMillis the retry time from the agent, in milliseconds; 0 if it gave none
 */
record Failure(ErrorCode code, String detail, Ran ran, long retryAfterMillis) {

  /**
   * Creates a failure observed by this router.
   *
   * @param code the code of the error
   * @param detail what happened
   * @return the failure, which leaves open whether the attempt was executed
   */
  static Failure unknown(ErrorCode code, String detail) {
    return new Failure(code, detail, Ran.UNKNOWN, 0);
  }

  /**
   * Creates a failure reported by an agent.
   *
   * @param end the end of the answer
   * @param answered whether earlier parts of the answer have arrived, which proves execution
   * @return the failure
   */
  static Failure of(AnswerEnd end, boolean answered) {
    Ran ran =
        end.getRan() == org.almondslip.protocol.wire.Ran.NO && !answered ? Ran.NO : Ran.UNKNOWN;
    ErrorCode code = ErrorCode.ofLabel(end.getCode()).orElse(ErrorCode.INTERNAL);
    return new Failure(code, end.getDetail(), ran, Integer.toUnsignedLong(end.getRetryAfterMs()));
  }

  /**
   * Returns whether another attempt can have a different result.
   *
   * @return false when the error depends only on the request itself
   */
  boolean isTransient() {
    return switch (code) {
      case TARGET_FAILED,
          TARGET_UNREACHABLE,
          TARGET_TIMEOUT,
          AGENT_LOST,
          STREAM_INTERRUPTED,
          DRAINING,
          NO_TARGET,
          NOT_READY,
          ROUTER_OVERLOADED,
          INTERNAL ->
          true;
      default -> false;
    };
  }

  /**
   * Returns whether the failure counts against the target.
   *
   * @return true when the target or its agent is at fault
   */
  boolean countsAgainstTarget() {
    return switch (code) {
      case TARGET_FAILED, TARGET_UNREACHABLE, TARGET_TIMEOUT, AGENT_LOST, INTERNAL -> true;
      default -> false;
    };
  }

  /**
   * Returns whether a retry consumes retry budget. Requests that a draining agent returns without
   * execution have caused no load.
   *
   * @return true when it does
   */
  boolean consumesRetryBudget() {
    return code != ErrorCode.DRAINING || ran != Ran.NO;
  }
}
