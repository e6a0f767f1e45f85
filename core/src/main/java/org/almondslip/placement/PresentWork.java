package org.almondslip.placement;

/**
 * Current duration of work at a target in percent of the usual one, for targets that share their
 * host with other programs.
 *
 * <p>Addresses hosts that are slow in periods of about 600 ms. An older figure says nothing, so its
 * effect decreases linearly to none within that time, and an avoided target is used again.
 */
final class PresentWork {

  /** Time after which a figure has no effect, in milliseconds; the length of a slow period. */
  static final long DECAY_MILLIS = 600;

  /** Figure of a target that works as usual. */
  static final int USUAL_PERCENT = 100;

  /** Largest figure that is plausible. */
  static final int MAX_PERCENT = 10_000;

  /**
   * Bounds of the factor, so that a wrong figure neither attracts nor excludes for its lifetime.
   */
  private static final double MIN_FACTOR = 0.25;

  private static final double MAX_FACTOR = 10;

  private int percent = USUAL_PERCENT;

  private long statedAt;

  private boolean known;

  /** Returns whether a figure can be true. */
  static boolean isPlausible(int percent) {
    return percent >= 1 && percent <= MAX_PERCENT;
  }

  /**
   * Records a figure unless a newer one is known.
   *
   * @param newPercent the figure
   * @param newStatedAt the time at which the target stated it, in milliseconds
   */
  void update(int newPercent, long newStatedAt) {
    if (!known || newStatedAt >= statedAt) {
      percent = newPercent;
      statedAt = newStatedAt;
      known = true;
    }
  }

  /** Returns whether a figure was recorded. */
  boolean isKnown() {
    return known;
  }

  /** Returns the latest figure, 100 without one. */
  int percent() {
    return percent;
  }

  /** Returns the time at which the target stated the figure, in milliseconds. */
  long statedAt() {
    return statedAt;
  }

  /** Returns whether the figure is known and still has an effect. */
  boolean isFresh(long now) {
    return known && now - statedAt < DECAY_MILLIS;
  }

  /**
   * Returns the expected current duration of work relative to the usual one.
   *
   * @param now the current time in milliseconds
   * @return the factor, 1 without a fresh figure
   */
  double factor(long now) {
    if (!isFresh(now)) {
      return 1;
    }
    double remaining = 1 - Math.max(0, now - statedAt) / (double) DECAY_MILLIS;
    double stated = percent / (double) USUAL_PERCENT;
    return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, 1 + (stated - 1) * remaining));
  }
}
