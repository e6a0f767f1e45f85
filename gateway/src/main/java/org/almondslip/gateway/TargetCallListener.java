package org.almondslip.gateway;

import org.almondslip.placement.TargetLoad;

/** Receiver of the outcome of a send. */
interface TargetCallListener {

  /**
   * Returns the answer of the caller.
   *
   * @return the answer
   */
  CallerAnswer answer();

  /**
   * Called when the target could not be connected.
   *
   * @param target the target
   */
  void onNotSent(TargetLoad target);

  /**
   * Called when the target states that it did not run the request.
   *
   * @param target the target
   */
  void onNotRun(TargetLoad target);

  /**
   * Called when the request may have run and its answer is lost.
   *
   * @param target the target
   * @param reason what happened
   */
  void onBroken(TargetLoad target, String reason);

  /**
   * Called when the target answered with a failure of its own.
   *
   * @param status the status
   * @return true when the request is sent again and the answer is dropped
   */
  boolean onFailureAnswer(int status);

  /**
   * Called after an event was passed on.
   *
   * @param eventId the id of the event
   */
  void onEvent(String eventId);

  /**
   * Called when the whole answer was passed on.
   *
   * @param status the status
   */
  void onComplete(int status);
}
