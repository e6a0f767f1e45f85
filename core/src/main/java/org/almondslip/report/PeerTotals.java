package org.almondslip.report;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.dispatch.DispatchStatistics;

/**
 * Totals of another router, from which the service since the last report follows.
 *
 * <p>Totals of a router that was not heard of for some time include service that is too old to
 * count, so the first ones after a silence only set where counting starts.
 */
final class PeerTotals {

  /** Time without a report after which earlier totals are too old, in milliseconds. */
  static final long SILENCE_MILLIS = 3_000;

  /** Time after a silence in which totals only set where counting starts, in milliseconds. */
  static final long SETTLING_MILLIS = 500;

  /** Totals by service and organisation. */
  private final Map<DispatchStatistics.Owner, Totals> totals = new HashMap<>();

  /** Start of the router. */
  private long incarnation;

  /** Whether a report has arrived. */
  private boolean heard;

  /** Time of the last report in milliseconds. */
  private long heardAt;

  /** Time from which on totals are counted, in milliseconds. */
  private long countsFrom;

  /**
   * Tokens of an organisation.
   *
   * @param asked the tokens of all requests
   * @param given the tokens of the requests that were sent to a target
   */
  record Totals(long asked, long given) {

    /** Totals of a router that has served nobody. */
    static final Totals NONE = new Totals(0, 0);

    /**
     * Returns what was added since earlier totals.
     *
     * @param earlier the earlier totals
     * @return the difference, at least 0
     */
    Totals since(Totals earlier) {
      return new Totals(Math.max(0, asked - earlier.asked), Math.max(0, given - earlier.given));
    }

    /**
     * Returns the larger of these totals and others; reports may arrive in any order.
     *
     * @param other the other totals
     * @return the larger values
     */
    Totals max(Totals other) {
      return new Totals(Math.max(asked, other.asked), Math.max(given, other.given));
    }
  }

  /**
   * Notes a report.
   *
   * @param start the start of the router
   * @param now the current time in milliseconds
   */
  void onReport(long start, long now) {
    if (!heard || now - heardAt > SILENCE_MILLIS) {
      countsFrom = now + SETTLING_MILLIS;
    }
    if (start != incarnation) {
      totals.clear();
      incarnation = start;
    }
    heard = true;
    heardAt = now;
  }

  /**
   * Takes totals.
   *
   * @param owner the service and the organisation
   * @param next the totals
   * @param now the current time in milliseconds
   * @return what was added since the last ones
   */
  Totals take(DispatchStatistics.Owner owner, Totals next, long now) {
    Totals last = totals.getOrDefault(owner, Totals.NONE);
    totals.put(owner, next.max(last));
    return now < countsFrom ? Totals.NONE : next.since(last);
  }
}
