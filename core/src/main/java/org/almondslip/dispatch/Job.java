package org.almondslip.dispatch;

import java.util.Set;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Request that waits for a target. */
public interface Job {

  /**
   * Returns the organisation that the request belongs to.
   *
   * @return the name, empty for a request without a key
   */
  String organisation();

  /**
   * Returns the service that the request is for.
   *
   * @return the name of the service
   */
  String service();

  /**
   * Returns the route of the request, whose requests are of one kind.
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
   * Returns the targets that the request must not be sent to.
   *
   * @return the ids of the targets
   */
  Set<String> triedTargets();

  /**
   * Returns the time by which the target must have read the prompt for the request to be on time.
   *
   * @return the time in milliseconds
   */
  long dueAt();

  /**
   * Returns the time until which the request waits for a target that keeps its shared parts.
   *
   * @return the time in milliseconds
   */
  long localityWaitUntil();

  /**
   * Returns whether an earlier send of the request makes it worth finishing in any case.
   *
   * @return true when the request is placed ahead of new ones and is never refused for its wait
   */
  boolean isRetry();

  /**
   * Sends the request to a target.
   *
   * @param target the target
   * @param expectedDelayMillis the expected time until it has read the prompt, in milliseconds
   */
  void send(TargetLoad target, double expectedDelayMillis);

  /**
   * Refuses the request, which has not run at the last target either.
   *
   * @param reason why it is refused
   * @param retryAfterMillis the time after which the caller may come back, in milliseconds
   */
  void refuse(RefusalReason reason, long retryAfterMillis);
}
