package org.almondslip.gateway;

import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/** Work that one send puts on a target, taken off again when the prompt is read and at the end. */
final class TargetWork {

  /** Order of waiting requests, which may be sent when work ends. */
  private final Dispatcher dispatcher;

  /** Target. */
  private final TargetLoad target;

  /** Prompt tokens that the target has to read. */
  private final int unreadTokens;

  /** Whether the target has read the prompt. */
  private boolean read;

  /**
   * Puts work on a target.
   *
   * @param dispatcher the order of waiting requests
   * @param target the target
   * @param prompt the prompt
   */
  TargetWork(Dispatcher dispatcher, TargetLoad target, Prompt prompt) {
    this.dispatcher = dispatcher;
    this.target = target;
    this.unreadTokens = target.onSent(prompt);
  }

  /**
   * Returns whether the target has read the prompt.
   *
   * @return true when it has
   */
  boolean isRead() {
    return read;
  }

  /**
   * Notes that the target has read the prompt.
   *
   * @return true when this was not known before
   */
  boolean read() {
    if (read) {
      return false;
    }
    read = true;
    target.onPrefilled(unreadTokens);
    dispatcher.dispatchWaiting(target.record().service());
    return true;
  }

  /** Takes the request off the target. */
  void end() {
    if (!read) {
      read = true;
      target.onPrefilled(unreadTokens);
    }
    target.onEnded();
    dispatcher.dispatchWaiting(target.record().service());
  }
}
