package org.almondslip.order;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;

/** Result of claiming an idempotency key. */
public sealed interface ClaimResult {

  /**
   * The order may be sent to the target.
   *
   * @param claim the claim
   */
  record Granted(Claim claim) implements ClaimResult {}

  /**
   * The order has run before; its answer is replayed.
   *
   * @param answer the recorded answer
   */
  record Replay(StoredAnswer answer) implements ClaimResult {}

  /**
   * The order must not be sent.
   *
   * @param code the error code of the refusal
   * @param ran whether an order under this key has run
   * @param detail the reason in human-readable form
   */
  record Refused(ErrorCode code, Ran ran, String detail) implements ClaimResult {}
}
