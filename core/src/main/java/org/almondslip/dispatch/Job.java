package org.almondslip.dispatch;

import java.util.Set;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Request that waits for a target. */
public interface Job {

  /**
   * Returns the organisation that the request belongs to.
   *
   * @return the name, empty for a request without an API key
   */
  String organisation();

  /**
   * Returns the service that the request is addressed to.
   *
   * @return the name of the service
   */
  String service();

  /**
   * Returns the route of the request; requests of one route are similar.
   *
   * @return the name of the route
   */
  String route();

  /**
   * Returns the size of the request.
   *
   * @return the prompt
   */
  Prompt prompt();

  /**
   * Returns the targets that the request must not be sent to again.
   *
   * @return the ids of the targets
   */
  Set<String> triedTargets();

  /**
   * Returns whether the rules for the request allow a target, whatever the state of the target.
   *
   * @param target the target
   * @return false if the request must not be sent to the target, or was sent to it before
   */
  default boolean permits(TargetLoad target) {
    return !triedTargets().contains(target.record().id());
  }

  /**
   * Returns whether the request may be served in some regions only.
   *
   * @return true if it must not wait for targets of any region to appear
   */
  default boolean isRestricted() {
    return false;
  }

  /**
   * Returns the time by which a target must complete prefill for the request to be on time.
   *
   * @return the time in milliseconds
   */
  long dueAt();

  /**
   * Returns the time until which the request waits for a target that caches its shared segments.
   *
   * @return the time in milliseconds
   */
  long localityWaitUntil();

  /**
   * Returns whether the request was sent to a target before.
   *
   * @return true if the request takes precedence over new ones and is never refused for its wait
   */
  boolean isRetry();

  /**
   * Returns whether the request must not be sent since similar requests have crashed targets.
   *
   * @return true while it is quarantined
   */
  boolean isQuarantined();

  /**
   * Sends the request to a target.
   *
   * @param target the target
   * @param expectedDelayMillis the expected time until the target completes prefill, in
   *     milliseconds
   */
  void send(TargetLoad target, double expectedDelayMillis);

  /**
   * Refuses the request, which was not run by the last target it was sent to, if any.
   *
   * @param reason why it is refused
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   */
  void refuse(RefusalReason reason, long retryAfterMillis);
}
