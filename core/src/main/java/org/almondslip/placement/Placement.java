package org.almondslip.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Selects the target with the least cost, which is the expected time until prefill completes plus
 * penalties for uncached prompt tokens and for a remote target.
 *
 * <p>The penalty for uncached tokens keeps each shared segment in the caches of few targets. A
 * segment in high demand spreads to further targets when those are busy.
 */
public final class Placement {

  /** Penalty for a target in another data centre, in milliseconds. */
  private static final double REMOTE_PENALTY_MILLIS = 30;

  /**
   * Weight of the prefill time of uncached tokens. Prefilling them delays all requests behind this
   * one, so it costs more than the delay of the request itself.
   */
  private static final double UNCACHED_PREFILL_WEIGHT = 6;

  /**
   * Penalty for an ejected target, in milliseconds; such a target is chosen only if all others are
   * ejected too.
   */
  private static final double EJECTED_PENALTY_MILLIS = 100_000;

  /** Expected delay for each request that exceeds the slots of a target, in milliseconds. */
  private static final double EXCESS_REQUEST_MILLIS = 100;

  /** Data centre of this router. */
  private final String dataCentre;

  private final EngineModel model;

  private final UniformRandomProvider random;

  /**
   * Target selected for a request.
   *
   * @param load the target
   * @param expectedDelayMillis the expected time until the target completes prefill, in
   *     milliseconds
   */
  public record Choice(TargetLoad load, double expectedDelayMillis) {}

  /**
   * Creates a placement.
   *
   * @param dataCentre the data centre of this router
   * @param model the performance model of the engines
   */
  public Placement(String dataCentre, EngineModel model) {
    this(dataCentre, model, RandomSource.XO_RO_SHI_RO_128_PP.create());
  }

  /**
   * Creates a placement with a source of randomness.
   *
   * @param dataCentre the data centre of this router
   * @param model the performance model of the engines
   * @param random decides between targets of nearly the same cost
   */
  public Placement(String dataCentre, EngineModel model, UniformRandomProvider random) {
    this.dataCentre = dataCentre;
    this.model = model;
    this.random = random;
  }

  /**
   * Selects the target with the least cost, or one of nearly the same cost if the speeds of the
   * service are in force.
   *
   * @param targets the targets of the service
   * @param prompt the prompt of the request
   * @param permitted whether the rules for the request allow a target
   * @param now the current time in milliseconds
   * @return the target, or empty if no target is eligible
   */
  public Optional<Choice> choose(
      Collection<TargetLoad> targets, Prompt prompt, Predicate<TargetLoad> permitted, long now) {
    TargetLoad best = null;
    double bestCost = Double.MAX_VALUE;
    NearEqualTargets nearEqual = new NearEqualTargets();
    for (TargetLoad target : targets) {
      if (!target.acceptsRequests(now) || !permitted.test(target)) {
        continue;
      }
      double cost = cost(target, prompt, now);
      if (target.speed().isInForce(now)) {
        nearEqual.add(target, cost, prompt, now);
      }
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    if (best != null && best.speed().isInForce(now)) {
      best = nearEqual.choose(model, random);
    }
    return best == null
        ? Optional.empty()
        : Optional.of(new Choice(best, expectedDelayMillis(best, prompt, now)));
  }

  /**
   * Estimates the time until a target completes the prefill of a prompt, including a pause that the
   * target has asked for.
   *
   * @param target the target
   * @param prompt the prompt
   * @param now the current time in milliseconds
   * @return the time in milliseconds
   */
  public double expectedDelayMillis(TargetLoad target, Prompt prompt, long now) {
    double prefillMillis =
        model.prefillMillis(target.pendingPrefillTokens(now) + target.uncachedTokens(prompt));
    int requests = target.requests(now);
    int excess = Math.max(0, requests - target.record().slots());
    return target.remainingPauseMillis(now)
        + prefillMillis * target.prefillFactor(now)
        + model.delayPerRequestMillis() * requests
        + excessRequestMillis(target, now) * excess;
  }

  /** Returns the expected delay for each request that exceeds the slots of a target. */
  private static double excessRequestMillis(TargetLoad target, long now) {
    return target.isEngine() || !target.speed().isInForce(now)
        ? EXCESS_REQUEST_MILLIS
        : target.speed().requestMillis(now) / target.record().slots();
  }

  /**
   * Starts to measure the response time of a request, before it counts towards the load.
   *
   * @param target the target
   * @param prompt the prompt
   * @param now the current time in milliseconds
   * @return the measurement
   */
  public SpeedMeasurement measure(TargetLoad target, Prompt prompt, long now) {
    return new SpeedMeasurement(target, model, prompt, now);
  }

  /**
   * Estimates the least time until any target completes the prefill of a prompt.
   *
   * @param targets the targets of the service
   * @param prompt the prompt
   * @param permitted whether the rules for the request allow a target
   * @param now the current time in milliseconds
   * @return the time in milliseconds, or empty if no permitted target is in service
   */
  public OptionalDouble leastExpectedDelayMillis(
      Collection<TargetLoad> targets, Prompt prompt, Predicate<TargetLoad> permitted, long now) {
    return targets.stream()
        .filter(target -> target.isInService() && permitted.test(target))
        .mapToDouble(target -> expectedDelayMillis(target, prompt, now))
        .min();
  }

  /**
   * Returns the target with the least expected delay for an empty prompt.
   *
   * @param targets the targets of the service
   * @param now the current time in milliseconds
   * @return the target, or empty if no target is in service
   */
  public Optional<TargetLoad> leastLoaded(Collection<TargetLoad> targets, long now) {
    return targets.stream()
        .filter(TargetLoad::isInService)
        .min(Comparator.comparingDouble(target -> expectedDelayMillis(target, Prompt.NONE, now)));
  }

  /**
   * Returns the least number of uncached prompt tokens among the targets that accept new requests
   * and are not ejected.
   *
   * @param targets the targets of the service
   * @param prompt the prompt
   * @param permitted whether the rules for the request allow a target
   * @param now the current time in milliseconds
   * @return the number of tokens, all tokens of the prompt if there is no such target
   */
  public int leastUncachedTokens(
      Collection<TargetLoad> targets, Prompt prompt, Predicate<TargetLoad> permitted, long now) {
    return targets.stream()
        .filter(target -> target.acceptsRequests(now) && permitted.test(target))
        .filter(target -> !target.isEjected(now))
        .mapToInt(target -> target.uncachedTokens(prompt))
        .min()
        .orElse(prompt.promptTokens());
  }

  /** Returns the cost of sending a request to a target, in milliseconds. */
  private double cost(TargetLoad target, Prompt prompt, long now) {
    double cost = expectedDelayMillis(target, prompt, now);
    cost += workMillis(target, prompt, now);
    cost += target.record().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY_MILLIS;
    cost += target.isEjected(now) ? EJECTED_PENALTY_MILLIS : 0;
    return cost;
  }

  /** Returns the cost of the work that a request causes at a target, in milliseconds. */
  private double workMillis(TargetLoad target, Prompt prompt, long now) {
    double prefillMillis =
        UNCACHED_PREFILL_WEIGHT * model.prefillMillis(target.uncachedTokens(prompt));
    TargetSpeed speed = target.speed();
    if (!speed.isInForce(now)) {
      return prefillMillis;
    }
    if (target.isEngine()) {
      return prefillMillis * speed.prefillFactor(now);
    }
    // Requests at a plain service share its host, so that a busy target serves each one later.
    return speed.requestMillis(now) * (1 + target.requests(now) / (double) target.record().slots());
  }
}
