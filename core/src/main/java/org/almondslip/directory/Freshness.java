package org.almondslip.directory;

import org.almondslip.time.Clock;

/**
 * Tracks the age of state that this process has read from the store.
 *
 * <p>The age is the larger of the elapsed monotonic and wall-clock time. While an instance is
 * suspended its monotonic clock stops, so only the wall clock reveals the age of the state. A
 * forward step of the wall clock makes the state appear too old until the next confirmation, which
 * is safe.
 */
public final class Freshness {

  /** Age reported before the first confirmation, in milliseconds. */
  public static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 2;

  private final Clock clock;

  /**
   * A point in time on both clocks.
   *
   * @param monotonic the monotonic time, in milliseconds
   * @param wall the wall-clock time since the Unix epoch, in milliseconds
   */
  public record Timestamp(long monotonic, long wall) {}

  /** Monotonic time as of which the state is confirmed, in milliseconds. */
  private long monotonic;

  /** Wall-clock time as of which the state is confirmed, in milliseconds. */
  private long wall;

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
   * Returns the current time, to be taken before a read is sent.
   *
   * @return the time on both clocks
   */
  public Timestamp timestamp() {
    return new Timestamp(clock.millis(), clock.wallMillis());
  }

  /**
   * Confirms that the known state was complete at some time. A time before the confirmed one is
   * ignored.
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
   * @return the age in milliseconds, {@link #UNKNOWN_AGE_MILLIS} before the first confirmation
   */
  public long ageMillis() {
    if (!confirmed) {
      return UNKNOWN_AGE_MILLIS;
    }
    return Math.max(clock.millis() - monotonic, clock.wallMillis() - wall);
  }
}
