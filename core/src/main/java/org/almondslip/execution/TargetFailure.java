package org.almondslip.execution;

import org.almondslip.error.ErrorCode;
import org.almondslip.protocol.wire.Ran;

/**
 * End of a call without a complete answer.
 *
 * @param kind what happened
 * @param sent whether a byte of the call may have left for the target
 * @param detail what failed, for people
 */
public record TargetFailure(Kind kind, boolean sent, String detail) {

  /** What ended a call. */
  public enum Kind {
    /** No connection could be made. */
    NOT_CONNECTED(ErrorCode.TARGET_UNREACHABLE),
    /** The target closed the connection before the end of its answer. */
    RESET(ErrorCode.TARGET_FAILED),
    /** The target broke its protocol. */
    PROTOCOL(ErrorCode.TARGET_FAILED),
    /** The agent ended the call. */
    CANCELLED(ErrorCode.CANCELLED);

    /** Code of the answer's end. */
    private final ErrorCode code;

    /**
     * Creates a kind.
     *
     * @param code the code of the answer's end
     */
    Kind(ErrorCode code) {
      this.code = code;
    }
  }

  /**
   * Returns whether the request has run, as far as the agent can know.
   *
   * @return NO only when no byte can have left
   */
  Ran ran() {
    return sent ? Ran.UNKNOWN : Ran.NO;
  }

  /**
   * Returns the code of the answer's end.
   *
   * @return the code
   */
  ErrorCode code() {
    return kind.code;
  }
}
