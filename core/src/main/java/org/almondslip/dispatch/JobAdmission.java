package org.almondslip.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Decides which jobs can still be on time; the others are refused, so that their callers may come
 * back when there is room.
 */
final class JobAdmission {

  /** Source of time. */
  private final Clock clock;

  /** Choice of targets. */
  private final Placement placement;

  /** Speed of the engines. */
  private final EngineModel model;

  /** Limits of the queues. */
  private final DispatchLimits limits;

  /**
   * Creates a decision.
   *
   * @param clock the source of time
   * @param placement the choice of targets
   * @param model the speed of the engines
   * @param limits the limits of the queues
   */
  JobAdmission(Clock clock, Placement placement, EngineModel model, DispatchLimits limits) {
    this.clock = clock;
    this.placement = placement;
    this.model = model;
    this.limits = limits;
  }

  /**
   * Returns why a new job cannot be read in time behind the jobs of its organisation.
   *
   * @param job the job
   * @param queue the queue of its service
   * @param share the shares of the organisations
   * @param open the targets with room
   * @return the reason, empty when it can be read in time
   */
  Optional<RefusalReason> obstacle(Job job, FairQueue queue, FairShare share, OpenTargets open) {
    if (queue.size() >= limits.maxWaiting()) {
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    if (isLate(job, open.all())) {
      return Optional.of(RefusalReason.EXPECTED_WAIT);
    }
    long now = clock.millis();
    Standing standing = share.standing(job.organisation(), now);
    if (!open.forStanding(job.prompt(), standing).isEmpty()) {
      // Jobs that wait for their shared parts leave room that this one can take in time.
      return Optional.empty();
    }
    double waitMillis = share.waitMillis(job.organisation(), queue.tokensAhead(job), now);
    return now + waitMillis > job.dueAt()
        ? Optional.of(RefusalReason.EXPECTED_WAIT)
        : Optional.empty();
  }

  /**
   * Returns the condition that a job can no longer be read in time by any target.
   *
   * @param targets the targets of its service
   * @return the condition
   */
  Predicate<Job> late(Collection<TargetLoad> targets) {
    Optional<TargetLoad> freest = placement.freest(targets, clock.millis());
    // Most jobs are in time at the freest target, which spares the question to all targets.
    return job -> isLateAt(job, freest) && isLate(job, targets);
  }

  /**
   * Returns whether a job can no longer be read in time by any target.
   *
   * @param job the job
   * @param targets the targets of its service
   * @return true when it can not
   */
  private boolean isLate(Job job, Collection<TargetLoad> targets) {
    long now = clock.millis();
    double least =
        placement
            .leastExpectedDelayMillis(targets, job.prompt(), now)
            .orElse(model.prefillMillis(job.prompt().promptTokens()));
    return now + least >= job.dueAt();
  }

  /**
   * Returns whether a job can no longer be read in time by one target.
   *
   * @param job the job
   * @param target the target, empty when there is none
   * @return true when it can not
   */
  private boolean isLateAt(Job job, Optional<TargetLoad> target) {
    long now = clock.millis();
    return target
        .map(load -> now + placement.expectedDelayMillis(load, job.prompt(), now) >= job.dueAt())
        .orElse(true);
  }
}
