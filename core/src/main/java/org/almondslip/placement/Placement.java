package org.almondslip.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.almondslip.directory.TargetRecord;

/**
 * Chooses the target with the least cost: the time until it has read the prompt, plus the price of
 * reading parts that another target keeps already, plus the price of a remote target.
 *
 * <p>The load it answers is a stream of prompts with large shared parts: each part is read by few
 * targets, and a part that is in demand spreads when its targets are busy.
 */
public final class Placement {

  /** Cost of a remote target, in milliseconds. */
  private static final double REMOTE_MILLIS = 30;

  /**
   * Weight of the time to read shared parts again. Reading a part once delays all requests behind
   * it, so it costs more than the delay of the request itself.
   */
  private static final double READ_AGAIN_WEIGHT = 6;

  /** Cost of a target that was just ejected; it is only used when all others are too. */
  private static final double EJECTED_MILLIS = 100_000;

  /** Cost of each request beyond the slots of a target, in milliseconds. */
  private static final double BEYOND_SLOTS_MILLIS = 100;

  /** Data centre of this router. */
  private final String dataCentre;

  /** Speed of the engines. */
  private final EngineModel model;

  /**
   * Target for a request.
   *
   * @param load the target
   * @param expectedDelayMillis the expected time until it has read the prompt, in milliseconds
   */
  public record Choice(TargetLoad load, double expectedDelayMillis) {}

  /**
   * Creates a placement.
   *
   * @param dataCentre the data centre of this router
   * @param model the speed of the engines
   */
  public Placement(String dataCentre, EngineModel model) {
    this.dataCentre = dataCentre;
    this.model = model;
  }

  /**
   * Chooses a target.
   *
   * @param targets the targets of the service
   * @param prompt the prompt of the request
   * @param tried the ids of targets that the request was sent to
   * @param now the current time in milliseconds
   * @return the target, or empty when none takes new requests
   */
  public Optional<Choice> choose(
      Collection<TargetLoad> targets, Prompt prompt, Set<String> tried, long now) {
    TargetLoad best = null;
    double bestCost = Double.MAX_VALUE;
    for (TargetLoad target : targets) {
      if (!takes(target, tried)) {
        continue;
      }
      double cost = cost(target, prompt, now);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best == null
        ? Optional.empty()
        : Optional.of(new Choice(best, expectedDelayMillis(best, prompt, now)));
  }

  /**
   * Returns the expected time until a target has read a prompt.
   *
   * @param target the target
   * @param prompt the prompt
   * @param now the current time in milliseconds
   * @return the time in milliseconds
   */
  public double expectedDelayMillis(TargetLoad target, Prompt prompt, long now) {
    double read =
        model.prefillMillis(target.pendingPrefillTokens(now) + target.uncachedTokens(prompt));
    int requests = target.requests(now);
    int waiting = Math.max(0, requests - target.record().slots());
    return read * target.slowdown()
        + model.delayPerRequestMillis() * requests
        + BEYOND_SLOTS_MILLIS * waiting;
  }

  /**
   * Returns the least expected time until a target has read a prompt.
   *
   * @param targets the targets of the service
   * @param prompt the prompt
   * @param now the current time in milliseconds
   * @return the time in milliseconds, or empty when no target takes new requests
   */
  public OptionalDouble leastExpectedDelayMillis(
      Collection<TargetLoad> targets, Prompt prompt, long now) {
    return targets.stream()
        .filter(target -> takes(target, Set.of()))
        .mapToDouble(target -> expectedDelayMillis(target, prompt, now))
        .min();
  }

  /**
   * Returns the target with the least work.
   *
   * @param targets the targets of the service
   * @param now the current time in milliseconds
   * @return the target, or empty when none takes new requests
   */
  public Optional<TargetLoad> freest(Collection<TargetLoad> targets, long now) {
    return targets.stream()
        .filter(target -> takes(target, Set.of()))
        .min(Comparator.comparingDouble(target -> expectedDelayMillis(target, Prompt.NONE, now)));
  }

  /**
   * Returns the least number of tokens of a prompt that a target would have to read.
   *
   * @param targets the targets of the service
   * @param prompt the prompt
   * @param tried the ids of targets that the request was sent to
   * @param now the current time in milliseconds
   * @return the tokens
   */
  public int leastUncachedTokens(
      Collection<TargetLoad> targets, Prompt prompt, Set<String> tried, long now) {
    return targets.stream()
        .filter(target -> takes(target, tried) && !target.isEjected(now))
        .mapToInt(target -> target.uncachedTokens(prompt))
        .min()
        .orElse(prompt.promptTokens());
  }

  /**
   * Returns whether a target may get a request.
   *
   * @param target the target
   * @param tried the ids of targets that the request was sent to
   * @return true when it takes new requests and was not tried
   */
  private static boolean takes(TargetLoad target, Set<String> tried) {
    return target.record().state() == TargetRecord.State.READY
        && !tried.contains(target.record().id());
  }

  /**
   * Returns the cost of sending a request to a target.
   *
   * @param target the target
   * @param prompt the prompt
   * @param now the current time in milliseconds
   * @return the cost in milliseconds
   */
  private double cost(TargetLoad target, Prompt prompt, long now) {
    double cost = expectedDelayMillis(target, prompt, now);
    cost += READ_AGAIN_WEIGHT * model.prefillMillis(target.uncachedTokens(prompt));
    cost += target.record().dataCentre().equals(dataCentre) ? 0 : REMOTE_MILLIS;
    cost += target.isEjected(now) ? EJECTED_MILLIS : 0;
    return cost;
  }
}
