package org.almondslip.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * Keeps requests back that have crashed several targets.
 *
 * <p>A target that breaks its connection may have crashed for any reason, so only breaks at several
 * targets count, an answer clears the request, and after a time one more send is allowed.
 */
public final class CrashQuarantine {

  /** Targets that a request must have crashed to be kept back. */
  public static final int CRASH_THRESHOLD = 3;

  /** Time after the last crash for which a request is kept back, in milliseconds. */
  public static final long QUARANTINE_MILLIS = 20_000;

  /** Largest number of requests that are remembered; the oldest are forgotten first. */
  private static final int MAX_REQUESTS = 1_000;

  /** Source of time. */
  private final Clock clock;

  /** Crashes by the fingerprint of the request, the oldest request first. */
  private final Map<Long, Crashes> requests = new LinkedHashMap<>();

  /** Crashes of one request. */
  private static final class Crashes {
    /** Incarnations of targets. */
    private final Set<Long> targets = new HashSet<>();

    /** Time of the last crash in milliseconds. */
    private long last;
  }

  /**
   * Creates an empty window.
   *
   * @param clock the source of time
   */
  public CrashQuarantine(Clock clock) {
    this.clock = clock;
  }

  /**
   * Notes that a target broke its connection while it ran a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param target the incarnation of the target
   */
  public void onCrash(long fingerprint, long target) {
    Crashes crashes = requests.computeIfAbsent(fingerprint, key -> new Crashes());
    crashes.targets.add(target);
    crashes.last = clock.millis();
    if (requests.size() > MAX_REQUESTS) {
      requests.remove(requests.keySet().iterator().next());
    }
  }

  /**
   * Notes that a request was answered.
   *
   * @param fingerprint the fingerprint of the request
   */
  public void onAnswer(long fingerprint) {
    requests.remove(fingerprint);
  }

  /**
   * Returns whether a request is kept back.
   *
   * @param fingerprint the fingerprint of the request
   * @return true when it must not be sent
   */
  public boolean isQuarantined(long fingerprint) {
    Crashes crashes = requests.get(fingerprint);
    return crashes != null
        && crashes.targets.size() >= CRASH_THRESHOLD
        && clock.millis() - crashes.last < QUARANTINE_MILLIS;
  }
}
