package org.almondslip.gateway;

import java.util.Optional;
import org.almondslip.pace.ColdPermit;
import org.almondslip.placement.TargetLoad;

/** Receives the outcome of an attempt to forward a request to a target. */
interface TargetAttemptListener {

  /** Returns the response to the caller. */
  CallerResponse response();

  /**
   * Returns why the request must not be sent to a target to which a connection was established.
   *
   * @param target the target
   * @param permit the permit that was taken for the request when it was dispatched
   * @return the reason, empty if the request may be sent now
   */
  Optional<String> withholdReason(TargetLoad target, ColdPermit permit);

  /**
   * Called when the request was not sent.
   *
   * @param target the target
   * @param reason what happened
   */
  void onNotSent(TargetLoad target, String reason);

  /**
   * Called when the target states that it did not run the request.
   *
   * @param target the target
   */
  void onNotExecuted(TargetLoad target);

  /**
   * Called when the request may have run and its response is lost or unusable.
   *
   * @param target the target
   * @param reason what happened
   */
  void onResponseLost(TargetLoad target, String reason);

  /**
   * Called when the target responded with a server error.
   *
   * @param status the status code, 500 or higher
   * @return true when the request is retried and the response is dropped
   */
  boolean onServerError(int status);

  /**
   * Called before events are forwarded of which at least one has an id.
   *
   * @param eventId the id of the last of these events that has one
   */
  void onEventForwarded(String eventId);

  /**
   * Called when the complete response was forwarded.
   *
   * @param status the status code
   */
  void onComplete(int status);
}
