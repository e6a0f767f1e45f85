package org.almondslip.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Crash marks of request fingerprints, as this process knows them. Merging is order-independent.
 */
public final class SuspectRegistry {

  /** Crashes after which a request is refused for good. */
  public static final int REFUSED_CRASHES = 2;

  /** Crash ids by fingerprint. */
  private final Map<Long, Set<String>> crashes = new HashMap<>();

  /** What may be done with a request. */
  public enum Verdict {
    /** It may run beside others. */
    CLEAR,
    /** It may run, but only alone on a target. */
    SUSPECT,
    /** It must not run again. */
    REFUSED
  }

  /**
   * Adds a crash mark.
   *
   * @param fingerprint the fingerprint of a request that was in flight
   * @param crashId the target and its incarnation
   * @return true when the mark is new
   */
  public boolean mark(long fingerprint, String crashId) {
    return crashes.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(crashId);
  }

  /**
   * Clears a suspect that has run to its end. A refused request stays refused.
   *
   * @param fingerprint the fingerprint
   * @return true when it was suspected
   */
  public boolean clear(long fingerprint) {
    return verdict(fingerprint) == Verdict.SUSPECT && crashes.remove(fingerprint) != null;
  }

  /**
   * Returns what may be done with a request.
   *
   * @param fingerprint the fingerprint
   * @return the verdict
   */
  public Verdict verdict(long fingerprint) {
    int count = crashes.getOrDefault(fingerprint, Set.of()).size();
    if (count >= REFUSED_CRASHES) {
      return Verdict.REFUSED;
    }
    return count == 0 ? Verdict.CLEAR : Verdict.SUSPECT;
  }
}
