package org.almondslip.gateway;

import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.quarantine.CrashedPrompt;

/** Reports the requests that this router sends, and their crashes, to the other routers. */
public interface PeerReporter {

  /**
   * Records that a request is sent to a target.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  void onSent(TargetLoad target, Prompt prompt);

  /**
   * Records that a target closed its connection while it ran a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param target the target
   */
  void onCrash(long fingerprint, TargetLoad target);

  /**
   * Records that a request was lost with its target at the start of the response.
   *
   * @param crash the prompt of the request
   */
  void onCrash(CrashedPrompt crash);
}
