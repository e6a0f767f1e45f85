package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.almondslip.dispatch.DispatchStatistics;
import org.almondslip.dispatch.DispatchStatus;
import org.almondslip.dispatch.Dispatcher;

/**
 * Logs a line a second for each service whose organisations do not get all that they ask for, with
 * what the router believes about the fleet at that moment.
 */
final class StatusLog {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Order of waiting requests. */
  private final Dispatcher dispatcher;

  /** Counts of reports. */
  private final ReportCounts reports;

  /** Delay of the event loop. */
  private final LoopDelay delay;

  /** Connections of callers. */
  private final CallerConnections callers;

  /** Totals of the last line by service. */
  private final Map<String, Totals> logged = new HashMap<>();

  /** Reports that were read up to the last line. */
  private long loggedReports;

  /**
   * Tokens of a service since the start of the process.
   *
   * @param asked the tokens asked for
   * @param sent the tokens sent to targets
   * @param refused the tokens refused
   * @param heldBack how often a send was held back
   */
  private record Totals(long asked, long sent, long refused, long heldBack) {

    /** No tokens. */
    private static final Totals NONE = new Totals(0, 0, 0, 0);

    /**
     * Adds the counts of an organisation.
     *
     * @param counts the counts
     * @return the sum
     */
    private Totals plus(DispatchStatistics.Counts counts) {
      long sum = counts.refusedTokens().values().stream().mapToLong(Long::longValue).sum();
      return new Totals(
          asked + counts.requestedTokens(), sent + counts.sentTokens(), refused + sum, heldBack);
    }

    /**
     * Returns the difference to earlier totals.
     *
     * @param earlier the earlier totals
     * @return the difference
     */
    private Totals minus(Totals earlier) {
      return new Totals(
          asked - earlier.asked,
          sent - earlier.sent,
          refused - earlier.refused,
          heldBack - earlier.heldBack);
    }
  }

  /**
   * Creates a log.
   *
   * @param dispatcher the order of waiting requests
   * @param reports the counts of reports
   * @param delay the delay of the event loop
   * @param callers the connections of callers
   */
  StatusLog(
      Dispatcher dispatcher, ReportCounts reports, LoopDelay delay, CallerConnections callers) {
    this.dispatcher = dispatcher;
    this.reports = reports;
    this.delay = delay;
    this.callers = callers;
  }

  /** Logs the services that are short of targets, and whether connections are. */
  void log() {
    if (callers.crowded()) {
      logger.atInfo().log(
          "callers hold %d of %d connections, which are closed after their answers; %d idle ones"
              + " were closed for new ones and %d new ones refused since the start",
          callers.size(), callers.capacity(), callers.evicted(), callers.refused());
    }
    Map<String, Totals> totals = totals();
    long received = reports.received() - loggedReports;
    loggedReports = reports.received();
    for (DispatchStatus status : dispatcher.status()) {
      Totals now = totals.getOrDefault(status.service(), Totals.NONE);
      Totals change =
          now.minus(Optional.ofNullable(logged.put(status.service(), now)).orElse(Totals.NONE));
      if (status.waitingJobs() == 0 && change.refused() == 0 && change.heldBack() == 0) {
        continue;
      }
      logger.atInfo().log(
          "%s: %d requests wait, %d of %d targets have room; in the last second %d tokens asked,"
              + " %d sent, %d refused, %d sends held back; even share %s, %d organisations"
              + " underserved; %d reports read, event loop %d ms behind",
          status.service(),
          status.waitingJobs(),
          status.availableTargets(),
          status.targets(),
          change.asked(),
          change.sent(),
          change.refused(),
          change.heldBack(),
          Double.isInfinite(status.evenShare())
              ? "unlimited"
              : String.format(Locale.ROOT, "%.0f", status.evenShare()),
          status.underservedOrganisations(),
          received,
          delay.millis());
    }
  }

  /**
   * Sums the counts of all organisations.
   *
   * @return the totals by service
   */
  private Map<String, Totals> totals() {
    DispatchStatistics statistics = dispatcher.statistics();
    Map<String, Totals> totals = new HashMap<>();
    statistics
        .heldBack()
        .forEach((service, times) -> totals.put(service, new Totals(0, 0, 0, times)));
    statistics
        .counts()
        .forEach(
            (owner, counts) ->
                totals.merge(
                    owner.service(), Totals.NONE.plus(counts), (sum, one) -> sum.plus(counts)));
    return totals;
  }
}
