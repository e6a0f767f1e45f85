package org.almondslip.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * Temporarily blocks requests during whose execution several targets have crashed.
 *
 * <p>A target may close its connection for reasons unrelated to the request. For this reason only
 * failures at distinct targets count, a successful response clears the request, and one further
 * attempt is permitted after the quarantine time.
 */
public final class CrashQuarantine {

  /** Number of distinct targets that must have crashed before a request is quarantined. */
  public static final int CRASH_THRESHOLD = 3;

  /** Duration of the quarantine after the last crash, in milliseconds. */
  public static final long QUARANTINE_MILLIS = 20_000;

  /** Maximum number of tracked requests; the oldest is evicted first. */
  private static final int MAX_REQUESTS = 1_000;

  private final Clock clock;

  /** Crashes by request fingerprint, in the order of the first crash. */
  private final Map<Long, CrashHistory> requests = new LinkedHashMap<>();

  /** Crashes attributed to one request. */
  private static final class CrashHistory {
    /** Incarnations of the targets that crashed. */
    private final Set<Long> targets = new HashSet<>();

    private long lastCrashMillis;
  }

  /**
   * Creates a quarantine without recorded crashes.
   *
   * @param clock the source of time
   */
  public CrashQuarantine(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that a target closed its connection while it executed a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param target the incarnation of the target
   */
  public void onCrash(long fingerprint, long target) {
    CrashHistory crashes = requests.computeIfAbsent(fingerprint, key -> new CrashHistory());
    crashes.targets.add(target);
    crashes.lastCrashMillis = clock.millis();
    if (requests.size() > MAX_REQUESTS) {
      requests.remove(requests.keySet().iterator().next());
    }
  }

  /**
   * Records that a request was answered, which clears its crashes.
   *
   * @param fingerprint the fingerprint of the request
   */
  public void onAnswer(long fingerprint) {
    requests.remove(fingerprint);
  }

  /**
   * Returns whether a request is quarantined.
   *
   * @param fingerprint the fingerprint of the request
   * @return true if the request must not be sent
   */
  public boolean isQuarantined(long fingerprint) {
    CrashHistory crashes = requests.get(fingerprint);
    return crashes != null
        && crashes.targets.size() >= CRASH_THRESHOLD
        && clock.millis() - crashes.lastCrashMillis < QUARANTINE_MILLIS;
  }
}
