package org.almondslip.dispatch;

import java.util.Collection;
import java.util.function.Predicate;
import org.almondslip.placement.TargetLoad;

/**
 * Estimates how long jobs wait for permits of cold targets.
 *
 * <p>Addresses a service whose targets are all cold: its permits are few, so that of many jobs that
 * could each be on time with the next permit only the first ones are.
 */
final class PermitWait {

  private PermitWait() {}

  /**
   * Returns the time until a permit is left for a new job.
   *
   * @param targets the targets of the service
   * @param permitted whether the rules for the job allow a target
   * @param ahead the number of jobs that wait for the same targets
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 if a permitted target needs no permit or none is in service
   */
  static long millis(
      Collection<TargetLoad> targets, Predicate<TargetLoad> permitted, int ahead, long now) {
    int selected = 0;
    for (TargetLoad target : targets) {
      if (target.isInService() && permitted.test(target)) {
        if (!target.pace().isCold(now)) {
          return 0;
        }
        selected += target.pace().isSelected() ? 1 : 0;
      }
    }
    double aheadPerTarget = ahead / (double) Math.max(1, selected);
    return targets.stream()
        .filter(target -> target.isInService() && permitted.test(target))
        .mapToLong(target -> target.pace().waitMillis(aheadPerTarget, now))
        .min()
        .orElse(0);
  }
}
