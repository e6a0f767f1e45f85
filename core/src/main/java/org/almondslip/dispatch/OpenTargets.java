package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;

/**
 * Targets of a service that have room at one moment.
 *
 * <p>All waiting jobs are compared with these few; asking every target for every job took most of
 * the processor time of a router whose queue had grown long.
 */
final class OpenTargets {

  /** All targets of the service. */
  private final Collection<TargetLoad> all;

  /** Decision which targets have room. */
  private final TargetRoom room;

  /** Time in milliseconds. */
  private final long now;

  /** Targets with room for some job. */
  private final List<TargetLoad> open = new ArrayList<>();

  /**
   * Finds the targets with room.
   *
   * @param all the targets of the service
   * @param room the decision which targets have room
   * @param now the current time in milliseconds
   */
  OpenTargets(Collection<TargetLoad> all, TargetRoom room, long now) {
    this.all = all;
    this.room = room;
    this.now = now;
    for (TargetLoad target : all) {
      if (room.isOpen(target, now)) {
        open.add(target);
      }
    }
  }

  /**
   * Returns all targets of the service.
   *
   * @return the targets
   */
  Collection<TargetLoad> all() {
    return all;
  }

  /**
   * Returns whether no target has room.
   *
   * @return true when none has
   */
  boolean isEmpty() {
    return open.isEmpty();
  }

  /**
   * Returns the targets with room for a job.
   *
   * @param prompt the prompt of the job
   * @param standing the standing of its organisation
   * @return the targets
   */
  Collection<TargetLoad> forStanding(Prompt prompt, Standing standing) {
    List<TargetLoad> found = new ArrayList<>(open.size());
    for (TargetLoad target : open) {
      if (room.isOpen(target, prompt, standing, now)) {
        found.add(target);
      }
    }
    return found;
  }

  /**
   * Checks a target that got a job.
   *
   * @param target the target
   */
  void refresh(TargetLoad target) {
    if (!room.isOpen(target, now)) {
      open.remove(target);
    }
  }
}
