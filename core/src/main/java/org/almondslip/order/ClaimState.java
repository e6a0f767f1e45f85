package org.almondslip.order;

/** State of a claimed idempotency key. */
public enum ClaimState {
  /** The call may have been sent to the target. */
  STARTED,
  /** The target has answered; the key cannot be claimed again. */
  DONE,
  /** The call was certainly not sent; the key may be claimed again. */
  RELEASED
}
