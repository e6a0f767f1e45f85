package org.almondslip.dispatch;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Advice on when a refused caller may retry, for an overload in which many requests are refused
 * within a short time. The time is random, so that their callers do not return together.
 */
public final class RetryAdvice {

  /** Callers honour the advice up to this fraction of the time that they have left. */
  private static final double USABLE_FRACTION = 1.0 / 3;

  /** Upper bound of the random time, as a multiple of the time until there is room. */
  private static final double SPREAD_FACTOR = 2;

  private final UniformRandomProvider random;

  /** Least advised delay in milliseconds. */
  private final long minMillis;

  private long usable;

  private long late;

  /**
   * Creates an advice.
   *
   * @param random the random source
   * @param minMillis the least advised delay in milliseconds
   */
  RetryAdvice(UniformRandomProvider random, long minMillis) {
    this.random = random;
    this.minMillis = minMillis;
  }

  /**
   * Returns the delay after which a refused caller may retry. It is uniformly distributed between
   * the expected time until there is room and twice that, as far as the caller can use it, and
   * between half of the usable time and all of it if room is expected later. Without usable time
   * the advice is the minimum, or the end of the pause.
   *
   * @param expectedMillis the expected time until there is room in milliseconds
   * @param pauseMillis the pause that all targets have asked for in milliseconds; the advice is
   *     never shorter
   * @param remainingMillis the time that the caller has left in milliseconds
   * @return the delay in milliseconds
   */
  long delayMillis(double expectedMillis, long pauseMillis, long remainingMillis) {
    double usableMillis = USABLE_FRACTION * remainingMillis;
    double floor = Math.max(minMillis, pauseMillis);
    if (floor > usableMillis) {
      late++;
      return Math.round(floor);
    }
    usable++;
    double most = Math.min(usableMillis, SPREAD_FACTOR * Math.max(floor, expectedMillis));
    double least = Math.max(floor, most / SPREAD_FACTOR);
    return Math.round(least + (most - least) * random.nextDouble());
  }

  /**
   * Returns the number of refusals whose callers can return after the advised delay.
   *
   * @return the number since the start of the process
   */
  public long usable() {
    return usable;
  }

  /**
   * Returns the number of refusals whose callers have less time left than the least delay.
   *
   * @return the number since the start of the process
   */
  public long late() {
    return late;
  }
}
