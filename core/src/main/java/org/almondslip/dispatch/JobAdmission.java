package org.almondslip.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Admission control that refuses jobs which cannot be on time, so that their callers can retry when
 * capacity is available.
 */
final class JobAdmission {

  private final Clock clock;

  private final Placement placement;

  private final EngineModel model;

  private final DispatchLimits limits;

  /**
   * Creates an admission control.
   *
   * @param clock the time source
   * @param placement the strategy that estimates delays
   * @param model the performance model of the engines
   * @param limits the limits of the queues
   */
  JobAdmission(Clock clock, Placement placement, EngineModel model, DispatchLimits limits) {
    this.clock = clock;
    this.placement = placement;
    this.model = model;
    this.limits = limits;
  }

  /**
   * Returns why a new job must be refused.
   *
   * @param job the job
   * @param queue the queue of its service
   * @param share the shares of the organisations
   * @param available the available targets of its service
   * @return the reason, empty if the job can be on time behind the jobs of its organisation
   */
  Optional<RefusalReason> refusalReason(
      Job job, FairQueue queue, FairShare share, AvailableTargets available) {
    if (queue.size() >= limits.maxWaitingJobs()) {
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    if (isLate(job, available.all())) {
      return Optional.of(RefusalReason.EXPECTED_WAIT);
    }
    long now = clock.millis();
    if (now + PermitWait.millis(available.all(), job::permits, queue.size(), now) >= job.dueAt()) {
      return Optional.of(RefusalReason.EXPECTED_WAIT);
    }
    ShareStatus status = share.status(job.organisation(), now);
    if (available.forPrompt(job.prompt(), status).stream().anyMatch(job::permits)) {
      // The queued jobs wait for targets that cache their segments; this job can use another one.
      return Optional.empty();
    }
    double waitMillis = share.waitMillis(job.organisation(), queue.tokensAhead(job), now);
    return now + waitMillis > job.dueAt()
        ? Optional.of(RefusalReason.EXPECTED_WAIT)
        : Optional.empty();
  }

  /**
   * Returns a predicate for jobs that no target can prefill in time any more.
   *
   * @param targets the targets of the service
   * @return the predicate, valid at the current time
   */
  Predicate<Job> isLate(Collection<TargetLoad> targets) {
    Optional<TargetLoad> leastLoaded = placement.leastLoaded(targets, clock.millis());
    // Most jobs are on time at the least loaded target, which avoids checking all targets.
    return job -> isLateAt(job, leastLoaded) && isLate(job, targets);
  }

  /** Returns whether no target can prefill a job in time any more. */
  private boolean isLate(Job job, Collection<TargetLoad> targets) {
    long now = clock.millis();
    double leastDelayMillis =
        placement
            .leastExpectedDelayMillis(targets, job.prompt(), job::permits, now)
            .orElse(model.prefillMillis(job.prompt().promptTokens()));
    return now + leastDelayMillis >= job.dueAt();
  }

  /**
   * Returns whether a target cannot prefill a job in time any more; true without a target or if the
   * job must not be sent to it.
   */
  private boolean isLateAt(Job job, Optional<TargetLoad> target) {
    long now = clock.millis();
    return target
        .filter(job::permits)
        .map(load -> now + placement.expectedDelayMillis(load, job.prompt(), now) >= job.dueAt())
        .orElse(true);
  }
}
