package org.almondslip.dispatch;

/** Why a request is refused before it is sent. */
public enum RefusalReason {
  /** The expected wait is longer than the objective allows. */
  OVERLOADED,
  /** No target of the service takes requests. */
  NO_TARGET
}
