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

  /**
   * Tokens that a target may prefill in addition to those of the target of the least cost. Above
   * it, requests would be spread to targets that do not cache their shared segments.
   */
  private static final int MAX_REPEATED_TOKENS = 128;

  private final List<Candidate> candidates = new ArrayList<>();

  /** Running requests divided by the slots, summed over all targets. */
  private double runningFraction;

  /** Sum of the speeds of all targets. */
  private double totalSpeed;

  /** Target with its cost in milliseconds, its speed and the tokens that it would prefill. */
  private record Candidate(TargetLoad target, double cost, double speed, int uncachedTokens) {}

  /**
   * Adds a target.
   *
   * @param target the target
   * @param cost its cost in milliseconds
   * @param prompt the prompt of the request
   * @param now the current time in milliseconds
   */
  void add(TargetLoad target, double cost, Prompt prompt, long now) {
    double speed = target.speed().currentSpeed(now);
    totalSpeed += speed;
    runningFraction += target.requests(now) / (double) Math.max(1, target.record().slots());
    candidates.add(new Candidate(target, cost, speed, target.uncachedTokens(prompt)));
  }

  /**
   * Chooses a target. At least one must have been added.
   *
   * @param model the performance model of the engines
   * @param random the source of randomness
   * @return the target
   */
  TargetLoad choose(EngineModel model, UniformRandomProvider random) {
    candidates.sort(Comparator.comparingDouble(Candidate::cost));
    Candidate best = candidates.get(0);
    candidates.removeIf(
        candidate -> candidate.uncachedTokens() > best.uncachedTokens() + MAX_REPEATED_TOKENS);
    double speed = candidates.stream().mapToDouble(Candidate::speed).sum();
    double unreportedMillis =
        best.target().speed().service().unreportedMillis(model, runningFraction);
    double level =
        Math.max(level(unreportedMillis * speed / totalSpeed), best.cost() + MIN_TOLERANCE_MILLIS);
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
    return best.target();
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
