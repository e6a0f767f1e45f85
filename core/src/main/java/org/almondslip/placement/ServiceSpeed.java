package org.almondslip.placement;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Speeds of the targets of one service relative to their mean, and the duration of work at mean
 * speed.
 *
 * <p>Addresses fleets in which some targets are several times as fast as others, or are slow for a
 * while. The estimates are in force while targets of the service state the current duration of
 * their work; other services are placed without them.
 */
public final class ServiceSpeed {

  /** Time for which the estimates stay in force after the last figure, in milliseconds. */
  static final long IN_FORCE_MILLIS = 60_000;

  /**
   * Interval at which the estimates of all routers are merged, in milliseconds. Merging takes time
   * proportional to targets times routers.
   */
  static final long MERGE_INTERVAL_MILLIS = 500;

  /**
   * Time for which the requests of other routers are not known, in milliseconds: the longest
   * interval of their reports and the time on the network.
   */
  private static final double REPORT_AGE_MILLIS = 200;

  /** Weight of the last interval in the rate of the other routers. */
  private static final double RATE_WEIGHT = 0.3;

  private final Set<TargetSpeed> targets = new LinkedHashSet<>();

  /** Whether any target is an inference engine. */
  private boolean engines;

  private final NetworkDistance distance = new NetworkDistance();

  private final PrefillModel prefill = new PrefillModel();

  /** Duration of a request without a prompt at mean speed in milliseconds, 0 if unknown. */
  private double requestMillis;

  /** Time of the latest figure of any target in milliseconds. */
  private long figureAt;

  private boolean figureKnown;

  private boolean merged;

  private long mergedAt;

  private long ignoredFigures;

  /** Uncached prompt tokens that other routers reported since the last merge. */
  private long peerTokens;

  /** Uncached prompt tokens that other routers send per millisecond. */
  private double peerTokensPerMilli;

  /** Creates the speeds of a service without targets. */
  public ServiceSpeed() {}

  void add(TargetSpeed target) {
    targets.add(target);
    engines |= target.isEngine();
    merged = false;
  }

  void remove(TargetSpeed target) {
    targets.remove(target);
    merged = false;
  }

  NetworkDistance distance() {
    return distance;
  }

  PrefillModel prefill() {
    return prefill;
  }

  /** Returns the duration of a request without a prompt at mean speed, 0 if it is unknown. */
  double requestMillis() {
    return requestMillis;
  }

  /** Returns whether a target has stated the duration of its work recently. */
  boolean isInForce(long now) {
    return figureKnown && now - figureAt < IN_FORCE_MILLIS;
  }

  void onFigure(long now) {
    figureAt = now;
    figureKnown = true;
  }

  void onIgnoredFigure() {
    ignoredFigures++;
  }

  /**
   * Returns the figures that were ignored since they are not plausible.
   *
   * @return the number since the start of the process
   */
  public long ignoredFigures() {
    return ignoredFigures;
  }

  /** Records the uncached tokens of a prompt that another router sent to a target. */
  void onPeerSent(int tokens) {
    peerTokens += tokens;
  }

  /**
   * Returns the work that other routers have probably sent since their last reports, as the sum of
   * the times that it adds to the targets.
   *
   * @param model the performance model of the engines
   * @param runningFraction the running requests divided by the slots, summed over all targets. At a
   *     service without prompts, their number divided by their duration is the rate of new ones.
   * @return the time in milliseconds
   */
  double unreportedMillis(EngineModel model, double runningFraction) {
    return engines
        ? model.prefillMillis(peerTokensPerMilli * REPORT_AGE_MILLIS) * prefill.duration()
        : runningFraction * REPORT_AGE_MILLIS;
  }

  /** Merges the estimates of all routers if they are due. */
  void merge(long now) {
    if (merged && now - mergedAt < MERGE_INTERVAL_MILLIS) {
      return;
    }
    if (now > mergedAt) {
      double rate = peerTokens / (double) Math.max(now - mergedAt, MERGE_INTERVAL_MILLIS);
      peerTokensPerMilli += RATE_WEIGHT * (rate - peerTokensPerMilli);
      peerTokens = 0;
    }
    merged = true;
    mergedAt = now;
    double prefillScale = scale(true, now);
    double requestScale = scale(false, now);
    requestMillis = requestScale;
    double sum = 0;
    for (TargetSpeed target : targets) {
      sum += target.estimate().merge(target.isEngine() ? prefillScale : requestScale, now);
    }
    for (TargetSpeed target : targets) {
      target.estimate().normalise(sum / targets.size());
    }
  }

  /**
   * Returns the ratio between what this router measures at engines, or at other targets, and the
   * merged estimates of the same targets: the measure of a target of mean speed. It cancels a
   * choice of targets that are faster or slower than the mean.
   */
  private double scale(boolean ofEngines, long now) {
    double measured = 0;
    double estimated = 0;
    for (TargetSpeed target : targets) {
      if (target.isEngine() == ofEngines) {
        SpeedSamples own = target.estimate().samples();
        own.expire(now);
        measured += own.count() * own.duration();
        estimated += own.count() * target.estimate().duration();
      }
    }
    return estimated > 0 ? measured / estimated : 0;
  }
}
