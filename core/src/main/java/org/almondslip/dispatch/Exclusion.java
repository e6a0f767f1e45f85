package org.almondslip.dispatch;

import java.util.Collection;
import java.util.Optional;
import org.almondslip.placement.TargetLoad;

/**
 * Reason why a job can be sent to no target, however long it waits.
 *
 * <p>Addresses jobs of a restricted route or organisation, and all jobs during an evacuation. A
 * service whose targets are only missing from the list is no such reason, since entries that have
 * lapsed return within seconds.
 */
public enum Exclusion {
  /** No target in an allowed region is in service. */
  REGION("region"),
  /** The remaining targets that the job may use are in evacuated data centres. */
  EVACUATION("evacuation");

  private final String label;

  /**
   * Creates a reason.
   *
   * @param label the name in logs and metrics
   */
  Exclusion(String label) {
    this.label = label;
  }

  /**
   * Returns the name in logs and metrics.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Returns why a job can be sent to none of the targets of its service.
   *
   * @param job the job
   * @param targets the targets of its service
   * @return the reason, empty if a target is left or the job may wait for one
   */
  public static Optional<Exclusion> of(Job job, Collection<TargetLoad> targets) {
    boolean allowedInService = false;
    boolean evacuated = false;
    for (TargetLoad target : targets) {
      boolean permitted = job.permits(target);
      if (permitted && target.isInService()) {
        return Optional.empty();
      }
      // A target that the job was sent to was in an allowed region.
      if (permitted || job.triedTargets().contains(target.record().id())) {
        allowedInService |= target.isInService();
        evacuated |= target.isEvacuated();
      }
    }
    if (evacuated) {
      return Optional.of(EVACUATION);
    }
    return job.isRestricted() && !allowedInService ? Optional.of(REGION) : Optional.empty();
  }
}
