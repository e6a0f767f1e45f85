package org.almondslip.time;

/** Source of time for decision logic, in milliseconds. */
public interface Clock {

  /**
   * Returns the time since an arbitrary origin. It never goes back, so it suits durations.
   *
   * @return monotonic time in milliseconds
   */
  long millis();

  /**
   * Returns the time since the Unix epoch. It may jump, so it suits records that people read.
   *
   * @return wall-clock time in milliseconds
   */
  long wallMillis();

  /** Clocks without state. */
  enum Standard implements Clock {
    /** Clock of the operating system. */
    SYSTEM;

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    @Override
    public long millis() {
      return System.nanoTime() / NANOS_PER_MILLI;
    }

    @Override
    public long wallMillis() {
      return System.currentTimeMillis();
    }
  }

  /** Clock that stands still until it is moved; used by tests and experiments. */
  final class Manual implements Clock {

    /** Current time in milliseconds. */
    private long now;

    /**
     * Creates a clock.
     *
     * @param start the first time that it shows, in milliseconds
     */
    public Manual(long start) {
      this.now = start;
    }

    /**
     * Moves the clock forward.
     *
     * @param millis how far, in milliseconds; not negative
     */
    public void advance(long millis) {
      if (millis < 0) {
        throw new IllegalArgumentException("a clock cannot go back by " + -millis + " ms");
      }
      now += millis;
    }

    @Override
    public long millis() {
      return now;
    }

    @Override
    public long wallMillis() {
      return now;
    }
  }
}
