package org.almondslip.process;

import java.security.SecureRandom;
import org.almondslip.time.Clock;

/** Generates incarnation numbers, which distinguish the starts of a process. */
public final class Incarnation {

  /** Number of random bits below the start time in milliseconds. */
  private static final int RANDOM_BITS = 20;

  private Incarnation() {}

  /**
   * Returns a new incarnation number. It increases with the wall-clock time; the random bits
   * distinguish two starts in the same millisecond.
   *
   * @param clock the clock that supplies the start time
   * @return the incarnation number
   */
  public static long next(Clock clock) {
    long random = new SecureRandom().nextInt(1 << RANDOM_BITS);
    return clock.wallMillis() << RANDOM_BITS | random;
  }
}
