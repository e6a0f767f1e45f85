package org.almondslip.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses at random among the targets whose costs do not differ by more than what other routers are
 * expected to have sent since their last reports.
 *
 * <p>Addresses the herd effect: the routers of a fleet know the same reports, which are up to 180
 * ms old, and would all send to the target that was the least loaded then. The requests sent since
 * are assumed to fill the targets of the least cost up to a common level. A target is chosen with a
 * probability in proportion to the work that it takes up to that level, which grows with its speed.
 */
final class NearEqualTargets {

  /** Smallest distance of the level from the least cost, above the noise of idle targets. */
  private static final double MIN_TOLERANCE_MILLIS = 10;

  private final List<Candidate> candidates = new ArrayList<>();

  /** Running requests divided by the slots, summed over all targets. */
  private double runningFraction;

  /** Target with its cost in milliseconds and its speed. */
  private record Candidate(TargetLoad target, double cost, double speed) {}

  /** Adds a target with its cost in milliseconds. */
  void add(TargetLoad target, double cost, long now) {
    runningFraction += target.requests(now) / (double) Math.max(1, target.record().slots());
    candidates.add(new Candidate(target, cost, target.speed().currentSpeed(now)));
  }

  /**
   * Chooses a target. At least one must have been added.
   *
   * @param model the performance model of the engines
   * @param random the source of randomness
   * @return the target
   */
  TargetLoad choose(EngineModel model, UniformRandomProvider random) {
    ServiceSpeed service = candidates.get(0).target().speed().service();
    double unreportedMillis = service.unreportedMillis(model, runningFraction);
    candidates.sort(Comparator.comparingDouble(Candidate::cost));
    double level =
        Math.max(level(unreportedMillis), candidates.get(0).cost() + MIN_TOLERANCE_MILLIS);
    double total = 0;
    for (Candidate candidate : candidates) {
      total += room(candidate, level);
    }
    double remaining = random.nextDouble() * total;
    for (Candidate candidate : candidates) {
      remaining -= room(candidate, level);
      if (remaining < 0) {
        return candidate.target();
      }
    }
    return candidates.get(0).target();
  }

  /** Returns the cost up to which the work fills the targets. */
  private double level(double work) {
    double speed = 0;
    double filled = 0;
    for (int i = 0; i < candidates.size(); i++) {
      speed += candidates.get(i).speed();
      filled += candidates.get(i).speed() * candidates.get(i).cost();
      double level = (work + filled) / speed;
      if (i + 1 == candidates.size() || level <= candidates.get(i + 1).cost()) {
        return level;
      }
    }
    return 0;
  }

  private static double room(Candidate candidate, double level) {
    return Math.max(0, level - candidate.cost()) * candidate.speed();
  }
}
