package org.almondslip.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Crash marks of request fingerprints, as this process knows them. Merging is order-independent.
 */
public final class SuspectRegistry {

  /** Crashes after which a request is refused for good. */
  public static final int REFUSAL_THRESHOLD = 2;

  /**
   * Largest number of fingerprints that are remembered. At 9 lost instances a day with 8 requests
   * each this is about two weeks; the oldest are forgotten first.
   */
  public static final int MAX_FINGERPRINTS = 1_000;

  /** Crash ids by fingerprint, the oldest fingerprint first. */
  private final Map<Long, Set<String>> crashes = new LinkedHashMap<>();

  /**
   * A crash mark.
   *
   * @param fingerprint the fingerprint of the request
   * @param crashId the target and its incarnation
   */
  public record CrashRecord(long fingerprint, String crashId) {}

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
  public boolean recordCrash(long fingerprint, String crashId) {
    boolean added = crashes.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(crashId);
    if (crashes.size() > MAX_FINGERPRINTS) {
      crashes.remove(crashes.keySet().iterator().next());
    }
    return added;
  }

  /**
   * Returns all marks, for a peer that may not have heard of them.
   *
   * @return the marks, the oldest fingerprint first
   */
  public List<CrashRecord> crashRecords() {
    List<CrashRecord> marks = new ArrayList<>();
    crashes.forEach(
        (fingerprint, ids) -> ids.forEach(id -> marks.add(new CrashRecord(fingerprint, id))));
    return marks;
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
    if (count >= REFUSAL_THRESHOLD) {
      return Verdict.REFUSED;
    }
    return count == 0 ? Verdict.CLEAR : Verdict.SUSPECT;
  }
}
