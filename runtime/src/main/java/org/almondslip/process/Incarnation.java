package org.almondslip.process;

import java.security.SecureRandom;
import org.almondslip.time.Clock;

/** Numbers that tell the starts of a process apart. */
public final class Incarnation {

  /** Random bits below the start time. */
  private static final int RANDOM_BITS = 20;

  /** Not instantiable. */
  private Incarnation() {}

  /**
   * Draws the number of this start. It grows with the start time; the random bits keep two starts
   * in the same millisecond apart.
   *
   * @param clock the source of time
   * @return the number
   */
  public static long next(Clock clock) {
    long random = new SecureRandom().nextInt(1 << RANDOM_BITS);
    return clock.wallMillis() << RANDOM_BITS | random;
  }
}
