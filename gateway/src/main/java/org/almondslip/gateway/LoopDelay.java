package org.almondslip.gateway;

import org.almondslip.time.Clock;

/**
 * Delay with which the event loop handles what has arrived.
 *
 * <p>A timer ticks on the loop. When the loop is busy, the ticks come late, and a request that is
 * read now may have waited in its socket since the tick before the last one. The delay is an upper
 * estimate: a caller may have left or come back elsewhere in that time.
 */
final class LoopDelay {

  /** Source of time. */
  private final Clock clock;

  /** Interval of the ticks in milliseconds. */
  private final long intervalMillis;

  /** Time of the last tick in milliseconds. */
  private long tickedAt;

  /** Time between the last two ticks in milliseconds. */
  private long lastGapMillis;

  /**
   * Creates a measurement of a loop that is idle.
   *
   * @param clock the source of time
   * @param intervalMillis the interval of the ticks in milliseconds
   */
  LoopDelay(Clock clock, long intervalMillis) {
    this.clock = clock;
    this.intervalMillis = intervalMillis;
    this.tickedAt = clock.millis();
  }

  /** Notes a tick. Ticks that are made up for right after a late one tell nothing of their own. */
  void onTick() {
    long now = clock.millis();
    long gap = now - tickedAt;
    if (gap * 2 >= intervalMillis) {
      lastGapMillis = gap;
      tickedAt = now;
    }
  }

  /**
   * Returns the longest time for which a request that is read now may have waited unread.
   *
   * @return the time in milliseconds, 0 while the ticks come on time
   */
  long millis() {
    long gap = Math.max(lastGapMillis, clock.millis() - tickedAt);
    return gap < intervalMillis * 2 ? 0 : gap - intervalMillis;
  }
}
