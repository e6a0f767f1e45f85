package org.almondslip.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Additional network delay of the targets in each data centre, relative to the nearest one.
 *
 * <p>Without it, a router would measure all targets of a remote region as slow, and report so to
 * routers to which they are near. The delay is the least response time of requests with little
 * prefill.
 */
final class NetworkDistance {

  /** Expected prefill up to which a response is a measure of the network, in milliseconds. */
  static final double SMALL_MILLIS = 25;

  /** Duration of a window of minima, so that a change of the network is followed. */
  private static final long WINDOW_MILLIS = 30_000;

  /** Number of samples from which on the minimum of a data centre is used. */
  private static final int MIN_SAMPLES = 20;

  private final Map<String, Minimum> minima = new HashMap<>();

  /** Least response time in the current and the previous window, in milliseconds. */
  private static final class Minimum {
    private double current = Double.MAX_VALUE;
    private double previous = Double.MAX_VALUE;
    private long windowStart;
    private int samples;

    private void add(double millis, long now) {
      if (now - windowStart >= WINDOW_MILLIS) {
        previous = current;
        current = Double.MAX_VALUE;
        windowStart = now;
      }
      current = Math.min(current, millis);
      samples++;
    }

    private double millis() {
      return Math.min(current, previous);
    }
  }

  /**
   * Adds a response time of a request with little prefill.
   *
   * @param dataCentre the data centre of the target
   * @param millis the time in milliseconds
   * @param now the current time in milliseconds
   */
  void add(String dataCentre, double millis, long now) {
    minima.computeIfAbsent(dataCentre, key -> new Minimum()).add(millis, now);
  }

  /**
   * Returns the additional delay of a data centre.
   *
   * @param dataCentre the data centre
   * @return the delay in milliseconds, 0 if it is unknown
   */
  double millis(String dataCentre) {
    Minimum own = minima.get(dataCentre);
    if (own == null || own.samples < MIN_SAMPLES) {
      return 0;
    }
    double least = own.millis();
    for (Minimum other : minima.values()) {
      if (other.samples >= MIN_SAMPLES) {
        least = Math.min(least, other.millis());
      }
    }
    return own.millis() - least;
  }
}
