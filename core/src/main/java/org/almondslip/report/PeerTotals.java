package org.almondslip.report;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.dispatch.DispatchStatistics;

/**
 * Cumulative service totals of another router, used to compute the service since its last report.
 *
 * <p>After a reporting gap, the totals of a router include service that is too old to be charged.
 * The first totals after a gap therefore serve only as a baseline.
 */
final class PeerTotals {

  /** Time without a report after which the known totals are too old, in milliseconds. */
  static final long MAX_GAP_MILLIS = 3_000;

  /** Time after a gap during which totals only update the baseline, in milliseconds. */
  static final long BASELINE_MILLIS = 500;

  /**
   * Maximum increase of a total between two reports, in tokens. A larger one is not plausible and
   * would take a minute to decay.
   */
  static final long MAX_INCREASE_TOKENS = 100_000_000;

  /** Latest totals by service and organisation. */
  private final Map<DispatchStatistics.Owner, Totals> totals = new HashMap<>();

  private long incarnation;

  /** Whether at least one report has arrived. */
  private boolean reported;

  private long lastReportMillis;

  /** Time from which increases of the totals are counted, in milliseconds. */
  private long countedFromMillis;

  /**
   * Cumulative tokens of an organisation since the start of the router.
   *
   * @param requestedTokens the tokens of all requests
   * @param sentTokens the tokens of the requests that were sent to a target
   */
  record Totals(long requestedTokens, long sentTokens) {

    /** Totals of an organisation without requests. */
    static final Totals NONE = new Totals(0, 0);

    /**
     * Returns the increase since earlier totals.
     *
     * @param earlier the earlier totals
     * @return the increase, in which neither value is negative
     */
    Totals since(Totals earlier) {
      return new Totals(
          Math.max(0, requestedTokens - earlier.requestedTokens),
          Math.max(0, sentTokens - earlier.sentTokens));
    }

    /** Returns whether both increases are small enough for the time between two reports. */
    boolean isPlausible() {
      return requestedTokens <= MAX_INCREASE_TOKENS && sentTokens <= MAX_INCREASE_TOKENS;
    }

    /**
     * Returns the larger value of each total. Reports may arrive out of order, so the latest report
     * may contain smaller totals.
     *
     * @param other the other totals
     * @return the maximum of both
     */
    Totals max(Totals other) {
      return new Totals(
          Math.max(requestedTokens, other.requestedTokens), Math.max(sentTokens, other.sentTokens));
    }
  }

  /**
   * Records the arrival of a report. A new incarnation resets the totals.
   *
   * @param reportIncarnation the incarnation of the router that sent the report
   * @param now the current time, in milliseconds
   */
  void onReport(long reportIncarnation, long now) {
    if (!reported || now - lastReportMillis > MAX_GAP_MILLIS) {
      countedFromMillis = now + BASELINE_MILLIS;
    }
    if (reportIncarnation != incarnation) {
      totals.clear();
      incarnation = reportIncarnation;
    }
    reported = true;
    lastReportMillis = now;
  }

  /**
   * Updates the totals of an organisation.
   *
   * @param owner the service and the organisation
   * @param next the reported totals
   * @param now the current time, in milliseconds
   * @return the increase to be counted, {@link Totals#NONE} while a baseline is established
   */
  Totals update(DispatchStatistics.Owner owner, Totals next, long now) {
    Totals last = totals.getOrDefault(owner, Totals.NONE);
    totals.put(owner, next.max(last));
    Totals increase = next.since(last);
    return now < countedFromMillis || !increase.isPlausible() ? Totals.NONE : increase;
  }
}
