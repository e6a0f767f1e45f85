package org.almondslip.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Crashes by request fingerprint, as known to this process.
 *
 * <p>The resulting state does not depend on the order in which crashes are recorded.
 */
public final class SuspectRegistry {

  /** Number of crashes after which a request is refused permanently. */
  public static final int REFUSAL_THRESHOLD = 2;

  /**
   * Maximum number of tracked fingerprints; the oldest is evicted first. With 9 lost instances per
   * day and 8 requests per instance, this covers about two weeks.
   */
  public static final int MAX_FINGERPRINTS = 1_000;

  /** Crash ids by fingerprint, in the order of the first crash. */
  private final Map<Long, Set<String>> crashes = new LinkedHashMap<>();

  /**
   * A crash of a target during the execution of a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param crashId the target and its incarnation
   */
  public record CrashRecord(long fingerprint, String crashId) {}

  /** Restriction on the execution of a request. */
  public enum Verdict {
    /** The request may run concurrently with others. */
    CLEAR,
    /** The request may run only if it is the only one on its target. */
    SUSPECT,
    /** The request must not run again. */
    REFUSED
  }

  /**
   * Records a crash.
   *
   * @param fingerprint the fingerprint of a request that was in flight
   * @param crashId the target and its incarnation
   * @return true if the crash was not yet known for this request
   */
  public boolean recordCrash(long fingerprint, String crashId) {
    boolean added = crashes.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(crashId);
    if (crashes.size() > MAX_FINGERPRINTS) {
      crashes.remove(crashes.keySet().iterator().next());
    }
    return added;
  }

  /**
   * Returns all recorded crashes, for synchronizing a peer.
   *
   * @return the crashes, ordered by fingerprint from oldest to newest
   */
  public List<CrashRecord> crashRecords() {
    List<CrashRecord> records = new ArrayList<>();
    crashes.forEach(
        (fingerprint, ids) -> ids.forEach(id -> records.add(new CrashRecord(fingerprint, id))));
    return records;
  }

  /**
   * Clears a suspect request that has completed. A refused request remains refused.
   *
   * @param fingerprint the fingerprint of the request
   * @return true if the request was suspect
   */
  public boolean clear(long fingerprint) {
    return verdict(fingerprint) == Verdict.SUSPECT && crashes.remove(fingerprint) != null;
  }

  /**
   * Returns the restriction that applies to a request.
   *
   * @param fingerprint the fingerprint of the request
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
