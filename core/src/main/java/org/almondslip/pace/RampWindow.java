package org.almondslip.pace;

/**
 * Window of concurrent requests of all routers at a target that has just started or recovered.
 *
 * <p>Addresses a target that is flooded as soon as it accepts requests, or left idle for a fixed
 * time. The window grows with responses on time as in TCP congestion control: first by doubling in
 * each response time (slow start), from a threshold on by one (additive increase). A refusal, a
 * failure or a late response halves it (multiplicative decrease).
 */
final class RampWindow {

  /** Fraction of the slots of a target with which the window starts. */
  private static final double INITIAL_FRACTION = 0.125;

  /**
   * Time without a change after which the window doubles, in milliseconds. Without load there are
   * no responses that increase it, and the routers that may send may have ended.
   */
  static final long UNCHANGED_MILLIS = 2_000;

  /** Response time of a target that has not responded, in milliseconds. */
  private static final double INITIAL_RESPONSE_MILLIS = 200;

  /** Lower bound of the response time, the interval of reports, in milliseconds. */
  private static final double MIN_RESPONSE_MILLIS = 60;

  /** Weight of a new measurement in the response time. */
  private static final double RESPONSE_WEIGHT = 0.25;

  /**
   * Time after the end of pacing for which it is reported, in milliseconds. It covers three reports
   * between regions.
   */
  private static final long REPORT_END_MILLIS = 600;

  private boolean active;

  private double window;

  /** Window from which on it grows by one. */
  private double threshold;

  /** Number of decreases, including the starts. */
  private int decreases;

  /** Window at which pacing ends. */
  private double limit;

  /** Average response time in milliseconds. */
  private double responseMillis = INITIAL_RESPONSE_MILLIS;

  /** Start of the current response time, in milliseconds. */
  private long roundStartedAt;

  /** Window at that time. */
  private double roundWindow;

  /** Start of the window in milliseconds. Earlier requests were sent without its limit. */
  private long startedAt;

  private long decreasedAt;

  private long changedAt;

  private long endedAt = Long.MIN_VALUE;

  /** Returns whether the window limits requests. */
  boolean isActive() {
    return active;
  }

  /** Returns the number of concurrent requests that all routers together may have. */
  int size() {
    return (int) Math.max(1, window);
  }

  int decreases() {
    return decreases;
  }

  /**
   * Starts with a small window, unless it is active. Counts as a decrease, so that it replaces the
   * view of routers that do not know of the start.
   *
   * @param slots the slots of the target
   * @param now the current time in milliseconds
   * @return whether the window has started
   */
  boolean start(int slots, long now) {
    if (active) {
      return false;
    }
    limit = slots;
    threshold = Double.MAX_VALUE;
    decreases++;
    setWindow(Math.max(1, slots * INITIAL_FRACTION), now);
    decreasedAt = now;
    startedAt = now;
    return true;
  }

  /**
   * Sets the limit of the target for the requests of all routers.
   *
   * @param requests the number of requests from which on the target is not paced
   * @param now the current time in milliseconds
   */
  void setLimit(double requests, long now) {
    limit = requests;
    endIfWide(now);
  }

  /**
   * Increases the window by a response on time.
   *
   * @param allowance the part of the window that this router may use. The responses at all routers
   *     are estimated from those at this one and its part.
   * @param sentAt the time at which the request was sent, in milliseconds
   * @param now the current time in milliseconds
   */
  void onTime(double allowance, double sentAt, long now) {
    if (!active || sentAt < startedAt) {
      return;
    }
    if (now - roundStartedAt >= responseMillis) {
      roundStartedAt = now;
      roundWindow = window;
    }
    double responses = window / Math.max(1, Math.min(window, allowance));
    double increase = window < threshold ? responses : responses / window;
    double max = window < threshold ? 2 * roundWindow : roundWindow + 1;
    if (window < max) {
      window = Math.min(max, window + increase);
      changedAt = now;
      endIfWide(now);
    }
  }

  /**
   * Halves the window, at most once in a response time.
   *
   * @param now the current time in milliseconds
   * @return whether it was halved
   */
  boolean decrease(long now) {
    if (!active || now - decreasedAt < responseMillis) {
      return false;
    }
    decreases++;
    threshold = Math.max(1, window / 2);
    decreasedAt = now;
    setWindow(threshold, now);
    return true;
  }

  /**
   * Records a response time.
   *
   * @param millis the time in milliseconds
   */
  void onResponseTime(double millis) {
    responseMillis =
        Math.max(MIN_RESPONSE_MILLIS, responseMillis + RESPONSE_WEIGHT * (millis - responseMillis));
  }

  /**
   * Merges the view of another router: the larger number of decreases wins, then the larger window.
   *
   * @param peerWindow the window, 0 without a limit
   * @param peerDecreases the number of decreases
   * @param slots the slots of the target
   * @param now the current time in milliseconds
   */
  void merge(int peerWindow, int peerDecreases, int slots, long now) {
    if (peerDecreases < decreases || peerDecreases == 0) {
      return;
    }
    boolean newer = peerDecreases > decreases;
    if (peerWindow == 0) {
      decreases = peerDecreases;
      end(now);
    } else if (newer) {
      if (!active) {
        limit = slots;
        startedAt = now;
      }
      // The phase of the other router is unknown; if it is slow start, its window grows faster.
      threshold = peerWindow;
      decreases = peerDecreases;
      decreasedAt = now;
      setWindow(peerWindow, now);
    } else if (active && peerWindow > window) {
      window = peerWindow;
      changedAt = now;
      endIfWide(now);
    }
  }

  /** Doubles the window if it has not changed for some time. */
  void tick(long now) {
    if (active && now - changedAt >= UNCHANGED_MILLIS) {
      setWindow(window * 2, now);
    }
  }

  /** Returns the window to report, 0 without a limit. */
  int reportedWindow() {
    return active ? size() : 0;
  }

  /** Returns the number of decreases to report, 0 some time after the end. */
  int reportedDecreases(long now) {
    return active || now - REPORT_END_MILLIS < endedAt ? decreases : 0;
  }

  private void setWindow(double next, long now) {
    active = true;
    window = next;
    roundWindow = next;
    roundStartedAt = now;
    changedAt = now;
    endIfWide(now);
  }

  private void endIfWide(long now) {
    if (active && window >= limit) {
      end(now);
    }
  }

  private void end(long now) {
    if (active) {
      active = false;
      endedAt = now;
    }
  }
}
