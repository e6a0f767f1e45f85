package org.almondslip.gateway;

import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/**
 * Load that an attempt adds to a target. Its prefill tokens are removed when prefill ends and the
 * request itself when the attempt ends.
 */
final class AttemptLoad {

  private final Dispatcher dispatcher;

  private final TargetLoad target;

  private final Prompt prompt;

  private final int prefillTokens;

  private boolean prefilled;

  /**
   * Adds the load to a target.
   *
   * @param dispatcher the dispatcher, which may send waiting requests when load is removed
   * @param target the target
   * @param prompt the prompt of the request
   */
  AttemptLoad(Dispatcher dispatcher, TargetLoad target, Prompt prompt) {
    this.dispatcher = dispatcher;
    this.target = target;
    this.prompt = prompt;
    this.prefillTokens = target.onSent(prompt);
  }

  boolean isPrefilled() {
    return prefilled;
  }

  /**
   * Removes the prefill tokens from the target.
   *
   * @return true on the first call, false when the prefill tokens were already removed
   */
  boolean onPrefilled() {
    if (prefilled) {
      return false;
    }
    prefilled = true;
    target.onPrefilled(prefillTokens);
    dispatcher.dispatchWaiting(target.record().service());
    return true;
  }

  /** Removes the request from the target. Must be called once. */
  void release() {
    if (!prefilled) {
      prefilled = true;
      target.onPrefilled(prefillTokens);
    }
    target.onEnded(prompt);
    dispatcher.dispatchWaiting(target.record().service());
  }
}
