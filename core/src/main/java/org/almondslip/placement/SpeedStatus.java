package org.almondslip.placement;

import java.util.Collection;
import java.util.List;

/**
 * Speed of a target as used for placement, for metrics.
 *
 * @param service the name of the service
 * @param target the id of the target
 * @param speedPermille the long-term speed relative to the mean of the service, in thousandths
 * @param workPercent the current duration of work in percent of the usual one
 * @param ignoredFigures the figures about targets of the service that were ignored
 */
public record SpeedStatus(
    String service, String target, int speedPermille, int workPercent, long ignoredFigures) {

  /**
   * Returns the speeds of those targets for whose service they are in force.
   *
   * @param targets the targets
   * @param now the current time in milliseconds
   * @return the speed of each target
   */
  public static List<SpeedStatus> of(Collection<TargetLoad> targets, long now) {
    return targets.stream()
        .filter(target -> target.speed().isInForce(now))
        .map(
            target ->
                new SpeedStatus(
                    target.record().service(),
                    target.record().id(),
                    target.speed().speedPermille(),
                    target.speed().workPercent(now),
                    target.speed().service().ignoredFigures()))
        .toList();
  }
}
