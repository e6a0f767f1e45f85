package org.almondslip.execution;

import org.almondslip.error.ErrorCode;
import org.almondslip.protocol.wire.Ran;

/**
 * Failure of a call that ended without a complete answer.
 *
 * @param kind the cause of the failure
 * @param sent whether any byte of the call may have been sent to the target
 * @param detail human-readable description of the failure
 */
public record TargetFailure(Kind kind, boolean sent, String detail) {

  /** Cause of a failure. */
  public enum Kind {
    /** No connection could be made. */
    NOT_CONNECTED(ErrorCode.TARGET_UNREACHABLE),
    /** The target closed the connection before the end of its answer. */
    RESET(ErrorCode.TARGET_FAILED),
    /** The target violated the protocol. */
    PROTOCOL(ErrorCode.TARGET_FAILED),
    /** The agent cancelled the call. */
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
   * Returns whether the request may have run.
   *
   * @return NO if no byte can have been sent, UNKNOWN otherwise
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
