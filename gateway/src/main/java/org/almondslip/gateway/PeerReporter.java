package org.almondslip.gateway;

import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Tells other routers what this one sends to targets. */
public interface PeerReporter {

  /**
   * Notes a send.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  void onSent(TargetLoad target, Prompt prompt);

  /**
   * Notes that a target broke its connection while it ran a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param target the target
   */
  void onCrash(long fingerprint, TargetLoad target);
}
