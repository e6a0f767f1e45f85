package org.almondslip.gateway;

import org.almondslip.time.Clock;

/**
 * Estimates the delay with which the event loop handles incoming data.
 *
 * <p>A periodic timer on the event loop fires late while the loop is busy, and a request that is
 * read now may have waited in its socket since the tick before the last one. The delay is an upper
 * bound: the caller may have disconnected or retried elsewhere in the meantime.
 */
final class EventLoopDelay {

  /**
   * Time after a late tick during which requests are still read that arrived before it, in
   * milliseconds. Connections wait in the accept queue of the socket too, which takes seconds to
   * drain while callers repeat their requests on new connections.
   */
  private static final long BACKLOG_MILLIS = 5_000;

  private final Clock clock;

  private final long tickIntervalMillis;

  private long lastTickAt;

  /** Time between the last two ticks in milliseconds. */
  private long lastGapMillis;

  /** Time of the last late tick in milliseconds. */
  private long lastLateTickAt;

  /**
   * Creates an estimate for an idle event loop.
   *
   * @param clock the source of time
   * @param tickIntervalMillis the interval of the periodic timer in milliseconds
   */
  EventLoopDelay(Clock clock, long tickIntervalMillis) {
    this.clock = clock;
    this.tickIntervalMillis = tickIntervalMillis;
    this.lastTickAt = clock.millis();
    this.lastLateTickAt = lastTickAt - BACKLOG_MILLIS;
  }

  /**
   * Records a tick of the timer.
   *
   * <p>Ignores ticks that follow the previous one in less than half of the interval: the timer
   * fires them to catch up after a late tick, and they do not measure the event loop.
   */
  void onTick() {
    long now = clock.millis();
    long gap = now - lastTickAt;
    if (gap * 2 >= tickIntervalMillis) {
      lastGapMillis = gap;
      lastTickAt = now;
      lastLateTickAt = gap < tickIntervalMillis * 2 ? lastLateTickAt : now;
    }
  }

  /** Returns whether a request that is read now may have waited since before a late tick. */
  boolean hasBacklog() {
    return millis() > 0 || clock.millis() - lastLateTickAt < BACKLOG_MILLIS;
  }

  /**
   * Returns the maximum time for which a request that is read now may have waited unread.
   *
   * @return the time in milliseconds, 0 while ticks are less than one interval late
   */
  long millis() {
    long gap = Math.max(lastGapMillis, clock.millis() - lastTickAt);
    return gap < tickIntervalMillis * 2 ? 0 : gap - tickIntervalMillis;
  }
}
