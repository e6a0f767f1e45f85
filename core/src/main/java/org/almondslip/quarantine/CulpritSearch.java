package org.almondslip.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Compares the suspects of all crashes and finds the one to be quarantined. */
final class CulpritSearch {

  /** Number of crashes that two segments must have in common for one to explain the other's. */
  private static final int MIN_COMMON_CRASHES = 2;

  private final Map<Long, SegmentRecord> records;

  /** Segments that are quarantined already. */
  private final Set<Long> restricted;

  /** Time until which all reports on crashes have arrived, in milliseconds. */
  private final long settledAt;

  /**
   * Creates a search.
   *
   * @param records the tracked segments
   * @param restricted the segments that are quarantined already
   * @param now the current time in milliseconds
   */
  CulpritSearch(Map<Long, SegmentRecord> records, Set<Long> restricted, long now) {
    this.records = records;
    this.restricted = restricted;
    this.settledAt = now - SegmentQuarantine.SETTLING_MILLIS;
  }

  /**
   * Returns the first suspect in the order of blame.
   *
   * @return the segment, empty while the crashes may have another cause that is not known well
   *     enough yet
   */
  Optional<Long> find() {
    List<Map.Entry<Long, SegmentRecord>> suspects =
        records.entrySet().stream()
            .filter(entry -> !restricted.contains(entry.getKey()))
            .filter(entry -> entry.getValue().isSuspect(settledAt))
            .sorted(Map.Entry.comparingByValue(SegmentRecord.BLAME_ORDER))
            .limit(2)
            .toList();
    if (suspects.isEmpty() || isExplainedByOthers(suspects.get(0).getValue())) {
      return Optional.empty();
    }
    // Routers that have seen more answers, as after a restart of this one, decide earlier.
    SegmentRecord first = suspects.get(0).getValue();
    boolean clear =
        suspects.size() == 1
            || SegmentRecord.ANSWER_ORDER.compare(first, suspects.get(1).getValue()) < 0
            || first.isSuspect(settledAt - SegmentQuarantine.SETTLING_MILLIS);
    return clear ? Optional.of(suspects.get(0).getKey()) : Optional.empty();
  }

  /** Returns whether segments that are blamed before a suspect are in half of its crashes. */
  private boolean isExplainedByOthers(SegmentRecord suspect) {
    Set<Long> targets = new HashSet<>();
    for (SegmentRecord other : records.values()) {
      if (SegmentRecord.BLAME_ORDER.compare(other, suspect) < 0) {
        Set<Long> common = other.crashedTargets();
        common.retainAll(suspect.crashedTargets());
        if (common.size() >= MIN_COMMON_CRASHES) {
          targets.addAll(common);
        }
      }
    }
    return 2 * targets.size() >= suspect.crashedTargets().size();
  }
}
