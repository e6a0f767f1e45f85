package org.almondslip.time;

/** Source of monotonic and wall-clock time, in milliseconds. */
public interface Clock {

  /**
   * Returns the monotonic time since an arbitrary origin. It never decreases and is suitable for
   * measuring durations.
   *
   * @return the monotonic time in milliseconds
   */
  long millis();

  /**
   * Returns the wall-clock time since the Unix epoch. It may be stepped in either direction and is
   * suitable for timestamps in records.
   *
   * @return the wall-clock time in milliseconds
   */
  long wallMillis();

  /** Stateless clocks. */
  enum Standard implements Clock {
    /** The clocks of the operating system. */
    SYSTEM;

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

  /** Clock that advances only on request; used by tests and experiments. */
  final class Manual implements Clock {

    private long nowMillis;

    /**
     * Creates a clock.
     *
     * @param startMillis the initial monotonic and wall-clock time, in milliseconds
     */
    public Manual(long startMillis) {
      this.nowMillis = startMillis;
    }

    /**
     * Advances the clock.
     *
     * @param millis the duration in milliseconds, not negative
     * @throws IllegalArgumentException if the duration is negative
     */
    public void advance(long millis) {
      if (millis < 0) {
        throw new IllegalArgumentException("clock cannot be moved back by " + -millis + " ms");
      }
      nowMillis += millis;
    }

    @Override
    public long millis() {
      return nowMillis;
    }

    @Override
    public long wallMillis() {
      return nowMillis;
    }
  }
}
