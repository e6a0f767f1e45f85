package org.almondslip.directory;

import org.almondslip.time.Clock;

/**
 * Age of what this process knows of the store.
 *
 * <p>The age is the larger of the monotonic and the wall-clock difference: a suspended instance
 * stops its monotonic clock, and only the wall clock then shows how old the state is. A forward
 * step of the wall clock makes the state look too old until the next confirmation, which is safe.
 */
public final class Freshness {

  /** Age that is returned before the first confirmation, in milliseconds. */
  public static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 2;

  /** Source of time. */
  private final Clock clock;

  /**
   * A time on both clocks.
   *
   * @param monotonic the monotonic time in milliseconds
   * @param wall the wall-clock time in milliseconds
   */
  public record Timestamp(long monotonic, long wall) {}

  /** Monotonic time of the confirmed state, in milliseconds. */
  private long monotonic;

  /** Wall-clock time of the confirmed state, in milliseconds. */
  private long wall;

  /** Whether a state was confirmed. */
  private boolean confirmed;

  /**
   * Creates a tracker without a confirmed state.
   *
   * @param clock the source of time
   */
  public Freshness(Clock clock) {
    this.clock = clock;
  }

  /**
   * Marks a time before a read.
   *
   * @return the time on both clocks
   */
  public Timestamp timestamp() {
    return new Timestamp(clock.millis(), clock.wallMillis());
  }

  /**
   * Notes that the known state was complete at a time.
   *
   * @param timestamp the time at which the read was sent
   */
  public void confirm(Timestamp timestamp) {
    if (!confirmed || timestamp.monotonic() >= monotonic) {
      monotonic = timestamp.monotonic();
      wall = timestamp.wall();
      confirmed = true;
    }
  }

  /**
   * Returns the age of the known state.
   *
   * @return the age in milliseconds
   */
  public long ageMillis() {
    if (!confirmed) {
      return UNKNOWN_AGE_MILLIS;
    }
    return Math.max(clock.millis() - monotonic, clock.wallMillis() - wall);
  }
}
