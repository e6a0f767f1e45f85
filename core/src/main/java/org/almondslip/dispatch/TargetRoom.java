package org.almondslip.dispatch;

import java.util.List;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/**
 * Decides which targets take more work now.
 *
 * <p>The load it answers is more prompts than engines can read: an engine that always reads
 * generates too slowly for any stream to end in time.
 */
final class TargetRoom {

  /** Prompt that stands for any other one. */
  private static final Prompt SMALL_PROMPT = new Prompt(List.of(), 1, 0);

  /** Speed of the engines. */
  private final EngineModel model;

  /** Limits of the queues. */
  private final DispatchLimits limits;

  /**
   * Creates a decision.
   *
   * @param model the speed of the engines
   * @param limits the limits of the queues
   */
  TargetRoom(EngineModel model, DispatchLimits limits) {
    this.model = model;
    this.limits = limits;
  }

  /**
   * Returns whether a target is a choice for new work.
   *
   * @param target the target
   * @param prompt the prompt of the work
   * @param standing the standing of the organisation
   * @param now the current time in milliseconds
   * @return true when it has not failed lately and has room
   */
  boolean isOpen(TargetLoad target, Prompt prompt, Standing standing, long now) {
    return !target.isEjected(now) && hasRoom(target, prompt, standing, now);
  }

  /**
   * Returns whether a target is a choice for new work of the usual kind.
   *
   * @param target the target
   * @param now the current time in milliseconds
   * @return true when it has not failed lately and has room
   */
  boolean isOpen(TargetLoad target, long now) {
    return isOpen(target, target.isEngine() ? SMALL_PROMPT : Prompt.NONE, Standing.EVEN, now);
  }

  /**
   * Returns whether a target takes more work now.
   *
   * @param target the target
   * @param prompt the prompt of the work
   * @param standing the standing of the organisation
   * @param now the current time in milliseconds
   * @return true when its unread work and its requests are below the limits
   */
  private boolean hasRoom(TargetLoad target, Prompt prompt, Standing standing, long now) {
    double slots = target.record().slots() * standing.slotPart();
    if (prompt.promptTokens() == 0) {
      return target.requests(now) < slots;
    }
    double unreadMillis = model.prefillMillis(target.pendingPrefillTokens(now)) * target.slowdown();
    return unreadMillis < limits.unreadMillis() * standing.unreadPart()
        && target.requests(now) < slots * limits.engineSlotPart();
  }
}
