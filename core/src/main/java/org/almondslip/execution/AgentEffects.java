package org.almondslip.execution;

/**
 * What the state machine of an agent does at its target.
 *
 * <p>Every started call ends with exactly one event: the end of the answer or a failure. A
 * cancelled call also ends with one of them, which tells whether the call had left.
 */
public interface AgentEffects {

  /**
   * Starts a call at the target.
   *
   * @param call the call
   */
  void start(TargetCall call);

  /**
   * Stops reading the answer of a call.
   *
   * @param token the call
   */
  void pause(long token);

  /**
   * Goes on reading the answer of a call.
   *
   * @param token the call
   */
  void resume(long token);

  /**
   * Ends a call early.
   *
   * @param token the call
   */
  void cancel(long token);

  /** Asks the target whether it answers; the result comes back as an event. */
  void probe();
}
