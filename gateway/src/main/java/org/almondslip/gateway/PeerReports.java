package org.almondslip.gateway;

import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Tells other routers what this one sends to targets. */
public interface PeerReports {

  /**
   * Notes a send.
   *
   * @param target the target
   * @param prompt the prompt of the request
   */
  void onSent(TargetLoad target, Prompt prompt);

  /** Reports without receivers, for a router that runs alone. */
  enum NoOp implements PeerReports {
    /** Only instance. */
    INSTANCE;

    @Override
    public void onSent(TargetLoad target, Prompt prompt) {}
  }
}
