package org.almondslip.dispatch;

import java.util.List;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/**
 * Checks which targets accept further jobs.
 *
 * <p>The limits keep an engine from prefilling all the time, which would slow down token generation
 * so much that no stream ended in time.
 */
final class TargetAvailability {

  /** Smallest prompt of an engine, for checks without a specific job. */
  private static final Prompt SMALL_PROMPT = new Prompt(List.of(), 1, 0);

  private final EngineModel model;

  private final DispatchLimits limits;

  private final TargetMemory memory;

  /**
   * Creates a check.
   *
   * @param model the performance model of the engines
   * @param limits the limits of the targets
   * @param memory the check of the memory of the engines
   */
  TargetAvailability(EngineModel model, DispatchLimits limits, TargetMemory memory) {
    this.model = model;
    this.limits = limits;
    this.memory = memory;
  }

  /**
   * Returns whether a target accepts a job.
   *
   * @param target the target
   * @param prompt the prompt of the job
   * @param status the share status of the organisation
   * @param now the current time in milliseconds
   * @return true if the target accepts new requests, is not ejected and has capacity
   */
  boolean isAvailable(TargetLoad target, Prompt prompt, ShareStatus status, long now) {
    return target.acceptsRequests(now)
        && !target.isEjected(now)
        && hasCapacity(target, prompt, status, now)
        && memory.permits(target, prompt, now);
  }

  /**
   * Returns whether a target accepts a small job of an organisation that is not overserved.
   *
   * @param target the target
   * @param now the current time in milliseconds
   * @return true if the target accepts new requests, is not ejected and has capacity
   */
  boolean isAvailable(TargetLoad target, long now) {
    return isAvailable(
        target, target.isEngine() ? SMALL_PROMPT : Prompt.NONE, ShareStatus.EVEN, now);
  }

  /**
   * Returns whether a target has memory for a job, whatever else it lacks.
   *
   * @param target the target
   * @param prompt the prompt of the job
   * @param now the current time in milliseconds
   * @return true if the job can be sent without exceeding the memory of the target
   */
  boolean hasMemory(TargetLoad target, Prompt prompt, long now) {
    return memory.permits(target, prompt, now);
  }

  /**
   * Returns whether requests and pending prefill of a target are below the limits. Only the
   * requests count for a job without prompt tokens.
   */
  private boolean hasCapacity(TargetLoad target, Prompt prompt, ShareStatus status, long now) {
    double limit =
        target.record().slots() * (target.isEngine() ? limits.maxEngineSlotFraction() : 1);
    int others = target.requests(now) - target.ownRequests();
    if (!target.pace().hasRoom(target.ownRequests(), others, limit, now)) {
      return false;
    }
    double slots = target.record().slots() * status.slotFraction();
    if (prompt.promptTokens() == 0) {
      return target.requests(now) < slots;
    }
    double pendingMillis =
        model.prefillMillis(target.pendingPrefillTokens(now)) * target.prefillFactor(now);
    return pendingMillis < limits.maxPendingPrefillMillis() * status.prefillFraction()
        && target.requests(now) < slots * limits.maxEngineSlotFraction();
  }
}
