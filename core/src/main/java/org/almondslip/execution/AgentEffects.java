package org.almondslip.execution;

/**
 * Operations that the state machine of an agent performs on its target.
 *
 * <p>Every started call yields exactly one terminal event: the end of the answer or a failure. This
 * includes cancelled calls, whose event tells whether the call had been sent.
 */
public interface AgentEffects {

  /**
   * Starts a call at the target.
   *
   * @param call the call
   */
  void start(TargetCall call);

  /**
   * Pauses reading the answer of a call.
   *
   * @param token the call
   */
  void pause(long token);

  /**
   * Resumes reading the answer of a call.
   *
   * @param token the call
   */
  void resume(long token);

  /**
   * Cancels a call.
   *
   * @param token the call
   */
  void cancel(long token);

  /** Probes the target asynchronously; the result is delivered as an event. */
  void probe();
}
