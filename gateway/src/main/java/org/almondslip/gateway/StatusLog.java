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
 * Periodically logs the services whose organisations do not receive all that they request, with the
 * router's current view of the fleet.
 */
final class StatusLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Dispatcher dispatcher;

  private final ReportCounts reports;

  private final EventLoopDelay eventLoopDelay;

  private final CallerConnections callers;

  /** Totals of each service at the previous call. */
  private final Map<String, Totals> previousTotals = new HashMap<>();

  private long previousReports;

  /**
   * Totals of a service since the start of the process.
   *
   * @param requested the tokens requested
   * @param sent the tokens sent to targets
   * @param refused the tokens refused
   * @param heldBack the number of times that dispatch was held back
   */
  private record Totals(long requested, long sent, long refused, long heldBack) {

    private static final Totals ZERO = new Totals(0, 0, 0, 0);

    /** Adds the tokens of an organisation. */
    private Totals plus(DispatchStatistics.Counts counts) {
      long sum = counts.refusedTokens().values().stream().mapToLong(Long::longValue).sum();
      return new Totals(
          requested + counts.requestedTokens(),
          sent + counts.sentTokens(),
          refused + sum,
          heldBack);
    }

    private Totals minus(Totals earlier) {
      return new Totals(
          requested - earlier.requested,
          sent - earlier.sent,
          refused - earlier.refused,
          heldBack - earlier.heldBack);
    }
  }

  StatusLog(
      Dispatcher dispatcher,
      ReportCounts reports,
      EventLoopDelay eventLoopDelay,
      CallerConnections callers) {
    this.dispatcher = dispatcher;
    this.reports = reports;
    this.eventLoopDelay = eventLoopDelay;
    this.callers = callers;
  }

  /**
   * Logs the connections of callers while they are above their soft limit, and each service with
   * waiting, refused or held back requests. The log line assumes one call per second.
   */
  void log() {
    if (callers.aboveSoftLimit()) {
      logger.atInfo().log(
          "%d of %d caller connections in use, closing connections after their responses; since"
              + " the start, %d idle connections closed for new ones and %d new ones refused",
          callers.size(), callers.capacity(), callers.evicted(), callers.refused());
    }
    Map<String, Totals> totals = totals();
    long received = reports.received() - previousReports;
    previousReports = reports.received();
    for (DispatchStatus status : dispatcher.status()) {
      Totals now = totals.getOrDefault(status.service(), Totals.ZERO);
      Totals change =
          now.minus(
              Optional.ofNullable(previousTotals.put(status.service(), now)).orElse(Totals.ZERO));
      if (status.waitingJobs() == 0 && change.refused() == 0 && change.heldBack() == 0) {
        continue;
      }
      logger.atInfo().log(
          "service %s: %d requests waiting, %d of %d targets available; in the last second %d"
              + " tokens requested, %d sent, %d refused, dispatch held back %d times; even share"
              + " %s, %d organisations underserved; %d reports received, event loop delay %d ms",
          status.service(),
          status.waitingJobs(),
          status.availableTargets(),
          status.targets(),
          change.requested(),
          change.sent(),
          change.refused(),
          change.heldBack(),
          Double.isInfinite(status.evenShare())
              ? "unlimited"
              : String.format(Locale.ROOT, "%.0f", status.evenShare()),
          status.underservedOrganisations(),
          received,
          eventLoopDelay.millis());
    }
  }

  /** Returns the sums over all organisations, by service. */
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
                    owner.service(), Totals.ZERO.plus(counts), (sum, ignored) -> sum.plus(counts)));
    return totals;
  }
}
