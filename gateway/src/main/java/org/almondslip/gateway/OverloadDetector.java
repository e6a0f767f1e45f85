package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import org.almondslip.time.Clock;

/**
 * Decides from the delay of the event loop when a router is overloaded, so that the balancer and
 * callers turn to other routers.
 *
 * <p>Callers are distributed over routers by a hash, so one router may receive most requests of a
 * large organisation while others are idle. An exponentially weighted moving average distinguishes
 * a sustained delay from a short pause. Hysteresis and a minimum duration, which doubles after each
 * relapse, prevent callers from oscillating between routers.
 */
final class OverloadDetector {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time constant of the moving average, in milliseconds. */
  private static final double AVERAGE_TIME_CONSTANT_MILLIS = 1_000;

  /** Fraction of the maximum delay above which the router becomes overloaded. */
  private static final double ENTER_FRACTION = 0.4;

  /** Fraction of the maximum delay below which the router may leave the overloaded state. */
  private static final double EXIT_FRACTION = 0.1;

  /** Minimum duration of the overloaded state in milliseconds, before any doubling. */
  static final long MIN_OVERLOAD_MILLIS = 3_000;

  /** Maximum number of times that relapses double the minimum duration. */
  private static final int MAX_DOUBLINGS = 2;

  /** Time after recovery within which another overload is a relapse, in milliseconds. */
  private static final long RELAPSE_MILLIS = 10_000;

  private final Clock clock;

  private final long maxDelayMillis;

  private double averageDelayMillis;

  private long lastSampleAt;

  private boolean overloaded;

  private long lastTransitionAt;

  /** Number of times that the minimum duration of the current overload is doubled. */
  private int doublings;

  /**
   * Creates a detector whose average delay is zero.
   *
   * @param clock the source of time
   * @param maxDelayMillis the maximum accepted delay of the event loop in milliseconds
   */
  OverloadDetector(Clock clock, long maxDelayMillis) {
    this.clock = clock;
    this.maxDelayMillis = maxDelayMillis;
    this.lastSampleAt = clock.millis();
    this.lastTransitionAt = lastSampleAt - RELAPSE_MILLIS;
  }

  /**
   * Adds a sample to the moving average and updates the state.
   *
   * @param delayMillis the delay of the event loop in milliseconds; samples above the maximum
   *     accepted delay count as that maximum
   */
  void addSample(long delayMillis) {
    long now = clock.millis();
    double weight = 1 - Math.exp((lastSampleAt - now) / AVERAGE_TIME_CONSTANT_MILLIS);
    lastSampleAt = now;
    averageDelayMillis += weight * (Math.min(delayMillis, maxDelayMillis) - averageDelayMillis);
    if (!overloaded && averageDelayMillis > maxDelayMillis * ENTER_FRACTION) {
      doublings =
          now - lastTransitionAt < RELAPSE_MILLIS ? Math.min(doublings + 1, MAX_DOUBLINGS) : 0;
      setOverloaded(true, now);
    } else if (overloaded
        && averageDelayMillis < maxDelayMillis * EXIT_FRACTION
        && now - lastTransitionAt >= MIN_OVERLOAD_MILLIS << doublings) {
      setOverloaded(false, now);
    }
  }

  /** Returns whether the router is overloaded and callers should use other routers. */
  boolean overloaded() {
    return overloaded;
  }

  private void setOverloaded(boolean next, long now) {
    overloaded = next;
    lastTransitionAt = now;
    if (next) {
      logger.atInfo().log(
          "overloaded, not ready for at least %d ms: average event loop delay %.0f ms",
          MIN_OVERLOAD_MILLIS << doublings, averageDelayMillis);
    } else {
      logger.atInfo().log(
          "no longer overloaded: average event loop delay %.0f ms", averageDelayMillis);
    }
  }
}
