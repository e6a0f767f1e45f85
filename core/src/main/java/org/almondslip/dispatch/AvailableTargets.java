package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/**
 * Targets of a service that accept further jobs at one point in time.
 *
 * <p>Waiting jobs are matched against this subset only. Checking each target for each job took most
 * of the CPU time of a router with a long queue.
 */
final class AvailableTargets {

  /** All targets of the service. */
  private final Collection<TargetLoad> all;

  private final TargetAvailability availability;

  /** Time of the snapshot in milliseconds. */
  private final long now;

  /** Targets that accept a small job. */
  private final List<TargetLoad> available = new ArrayList<>();

  /**
   * Selects the available targets.
   *
   * @param all the targets of the service
   * @param availability the check for available targets
   * @param now the current time in milliseconds
   */
  AvailableTargets(Collection<TargetLoad> all, TargetAvailability availability, long now) {
    this.all = all;
    this.availability = availability;
    this.now = now;
    for (TargetLoad target : all) {
      if (availability.isAvailable(target, now)) {
        available.add(target);
      }
    }
  }

  /** Returns all targets of the service, including those that accept no job. */
  Collection<TargetLoad> all() {
    return all;
  }

  /** Returns whether no target is available. */
  boolean isEmpty() {
    return available.isEmpty();
  }

  /**
   * Returns the targets that are available for a job.
   *
   * @param prompt the prompt of the job
   * @param status the share status of its organisation
   * @return the targets
   */
  Collection<TargetLoad> forPrompt(Prompt prompt, ShareStatus status) {
    List<TargetLoad> found = new ArrayList<>(available.size());
    for (TargetLoad target : available) {
      if (availability.isAvailable(target, prompt, status, now)) {
        found.add(target);
      }
    }
    return found;
  }

  /**
   * Returns the targets that have memory for a job, including those that accept no job otherwise.
   *
   * @param prompt the prompt of the job
   * @return the targets
   */
  Collection<TargetLoad> withMemory(Prompt prompt) {
    return all.stream().filter(target -> availability.hasMemory(target, prompt, now)).toList();
  }

  /**
   * Returns whether a target that accepts a small job has no memory for a job.
   *
   * @param prompt the prompt of the job
   */
  boolean lacksMemory(Prompt prompt) {
    return available.stream().anyMatch(target -> !availability.hasMemory(target, prompt, now));
  }

  /**
   * Removes a target if a job that was sent to it has made it unavailable.
   *
   * @param target the target
   */
  void refresh(TargetLoad target) {
    if (!availability.isAvailable(target, now)) {
      available.remove(target);
    }
  }
}
