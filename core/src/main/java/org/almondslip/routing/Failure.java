package org.almondslip.routing;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.protocol.wire.AnswerEnd;

/**
 * Why one attempt ended without a whole answer.
 *
 * @param code the code of the error
 * @param detail what happened
 * @param ran whether the attempt has run
 * @param retryAfterMillis the time to retry that the agent gave, 0 without one
 */
record Failure(ErrorCode code, String detail, Ran ran, long retryAfterMillis) {

  /**
   * Creates a failure that this router observed.
   *
   * @param code the code of the error
   * @param detail what happened
   * @return the failure, with an unknown outcome
   */
  static Failure unknown(ErrorCode code, String detail) {
    return new Failure(code, detail, Ran.UNKNOWN, 0);
  }

  /**
   * Creates a failure that an agent reported.
   *
   * @param end the end of the answer
   * @param answered whether parts of the answer arrived before, which proves that it ran
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
   * @return false when the code is a decision about the request itself
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
   * Returns whether a retry counts against the retry budget. Requests that a draining agent hands
   * back have caused no load.
   *
   * @return true when it does
   */
  boolean consumesRetryBudget() {
    return code != ErrorCode.DRAINING || ran != Ran.NO;
  }
}
