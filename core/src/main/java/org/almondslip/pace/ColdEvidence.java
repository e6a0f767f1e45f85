package org.almondslip.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Evidence that a target is cold, by its source. A health check makes all older evidence void.
 *
 * <p>Addresses routers of which each knows a part: evidence is dated by its receipt, so that a
 * report which was sent before a health check does not count after it.
 */
final class ColdEvidence {

  /**
   * Difference below which two reports of a router refer to the same end of a cold period, in
   * milliseconds. It covers the variation of transfer times.
   */
  private static final long SAME_END_MILLIS = 500;

  /**
   * Time after which a repeated report counts as new evidence, in milliseconds. Its sender has not
   * received the result of a health check, which is therefore repeated.
   */
  private static final long RENEWAL_MILLIS = 1_000;

  /** Maximum time for which a target is taken to be cold, in milliseconds. */
  static final long MAX_COLD_MILLIS = 600_000;

  private final Map<Source, Evidence> all = new HashMap<>();

  /** Time up to which evidence is void, in milliseconds. */
  private long voidUntil = Long.MIN_VALUE;

  /**
   * Source of evidence.
   *
   * @param reason the kind of the source
   * @param router the name of the router that reported it, empty for this router
   */
  private record Source(ColdReason reason, String router) {}

  /**
   * Evidence that the target is cold.
   *
   * @param at the time at which it was received, in milliseconds
   * @param until the end of the time for which the target is cold, in milliseconds
   */
  private record Evidence(long at, long until) {}

  /**
   * Adds evidence of this router, which replaces earlier evidence of the same kind.
   *
   * @param reason the kind of evidence
   * @param coldMillis the time for which the target is cold, in milliseconds
   * @param at the time of receipt in milliseconds
   */
  void add(ColdReason reason, long coldMillis, long at) {
    long until = at + Math.min(coldMillis, MAX_COLD_MILLIS);
    all.put(new Source(reason, ""), new Evidence(at, until));
  }

  /**
   * Adds the report of another router. A report that only repeats an earlier one keeps its time.
   *
   * @param reason the kind of evidence
   * @param router the name of the router
   * @param coldMillis the time for which the target is cold, in milliseconds
   * @param now the current time in milliseconds
   */
  void addReport(ColdReason reason, String router, long coldMillis, long now) {
    Source source = new Source(reason, router);
    long until = now + Math.min(coldMillis, MAX_COLD_MILLIS);
    Evidence known = all.get(source);
    boolean same =
        known != null
            && until <= known.until() + SAME_END_MILLIS
            && now - known.at() < RENEWAL_MILLIS;
    all.put(source, new Evidence(same ? known.at() : now, until));
  }

  /** Removes the evidence of this router of a kind. */
  void remove(ColdReason reason) {
    all.remove(new Source(reason, ""));
  }

  /** Makes the evidence up to a time void. */
  void voidUntil(long at) {
    voidUntil = Math.max(voidUntil, at);
  }

  /**
   * Returns the latest end of the time for which the target is cold.
   *
   * @param counted the kinds of evidence that count
   * @param now the current time in milliseconds
   * @return the time in milliseconds, the smallest number without valid evidence
   */
  long until(Predicate<ColdReason> counted, long now) {
    all.values().removeIf(evidence -> evidence.until() <= now);
    long until = Long.MIN_VALUE;
    for (Map.Entry<Source, Evidence> entry : all.entrySet()) {
      if (counted.test(entry.getKey().reason()) && entry.getValue().at() > voidUntil) {
        until = Math.max(until, entry.getValue().until());
      }
    }
    return until;
  }
}
