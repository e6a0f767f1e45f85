package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import org.almondslip.time.Clock;

/**
 * Decides when a router is behind its load, so that the balancer and callers turn to others.
 *
 * <p>Callers are spread over routers by a hash, so one router may get most requests of a large
 * organisation while its neighbours are idle. The average delay of the event loop tells this from
 * short pauses; hysteresis, and a longer time after each relapse, keep callers from moving to and
 * fro.
 */
final class OverloadDetector {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time constant of the average in milliseconds. */
  private static final double AVERAGE_MILLIS = 1_000;

  /** Part of the longest accepted delay above which a router is behind its load. */
  private static final double ENTER_PART = 0.4;

  /** Part of the longest accepted delay below which it no longer is. */
  private static final double LEAVE_PART = 0.1;

  /** Shortest time for which a router counts as behind its load, in milliseconds. */
  static final long HOLD_MILLIS = 3_000;

  /** Largest number of doublings of that time after relapses. */
  private static final int MAX_DOUBLINGS = 2;

  /** Time within which a further overload is a relapse, in milliseconds. */
  private static final long RELAPSE_MILLIS = 10_000;

  /** Source of time. */
  private final Clock clock;

  /** Longest accepted delay in milliseconds. */
  private final long maxDelayMillis;

  /** Average delay in milliseconds. */
  private double average;

  /** Time of the last measurement in milliseconds. */
  private long measuredAt;

  /** Whether the router is behind its load. */
  private boolean overloaded;

  /** Time of the last change in milliseconds. */
  private long changedAt;

  /** Doublings of the shortest time. */
  private int doublings;

  /**
   * Creates a detector of a router that is on time.
   *
   * @param clock the source of time
   * @param maxDelayMillis the longest accepted delay of the event loop in milliseconds
   */
  OverloadDetector(Clock clock, long maxDelayMillis) {
    this.clock = clock;
    this.maxDelayMillis = maxDelayMillis;
    this.measuredAt = clock.millis();
    this.changedAt = measuredAt - RELAPSE_MILLIS;
  }

  /**
   * Takes a measurement.
   *
   * @param delayMillis the delay of the event loop in milliseconds
   */
  void onDelay(long delayMillis) {
    long now = clock.millis();
    double weight = 1 - Math.exp((measuredAt - now) / AVERAGE_MILLIS);
    measuredAt = now;
    average += weight * (Math.min(delayMillis, maxDelayMillis) - average);
    if (!overloaded && average > maxDelayMillis * ENTER_PART) {
      doublings = now - changedAt < RELAPSE_MILLIS ? Math.min(doublings + 1, MAX_DOUBLINGS) : 0;
      change(true, now);
    } else if (overloaded
        && average < maxDelayMillis * LEAVE_PART
        && now - changedAt >= HOLD_MILLIS << doublings) {
      change(false, now);
    }
  }

  /**
   * Returns whether the router is behind its load.
   *
   * @return true when callers should turn to others
   */
  boolean overloaded() {
    return overloaded;
  }

  /**
   * Changes the state.
   *
   * @param next the state
   * @param now the current time in milliseconds
   */
  private void change(boolean next, long now) {
    overloaded = next;
    changedAt = now;
    if (next) {
      logger.atInfo().log(
          "behind the load, not ready for at least %d ms: the event loop is %.0f ms behind",
          HOLD_MILLIS << doublings, average);
    } else {
      logger.atInfo().log("ready again: the event loop is %.0f ms behind", average);
    }
  }
}
