package org.almondslip.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the service of organisations that wait at different routers close to each other.
 *
 * <p>Each router orders its own queue, but a router with few waiting organisations would give them
 * more than they get elsewhere. So a router holds a job back while an organisation that received
 * clearly less waits at another router.
 */
final class FairShare {

  /**
   * Factor between the service of two waiting organisations up to which both are served. It leaves
   * room for the age of reports below the factor of two that organisations are promised.
   */
  private static final double LEAD_FACTOR = 1.4;

  /** Service in tokens that an organisation may be ahead in any case; a few large prompts. */
  private static final double LEAD_TOKENS = 50_000;

  /**
   * Part of the service of the best served waiting organisation below which another one is behind.
   * It is a little more than the half that each organisation is promised.
   */
  private static final double BEHIND_PART = 0.55;

  /** Time after which a report of another router no longer counts, in milliseconds. */
  private static final long EXPIRY_MILLIS = 250;

  /** Reports by the names of the routers. */
  private final Map<String, Report> reports = new HashMap<>();

  /**
   * Report of a router.
   *
   * @param range the service of the organisations that wait there
   * @param at the time of the report in milliseconds
   */
  private record Report(WaitingRange range, long at) {}

  /**
   * Takes a report.
   *
   * @param router the name of the router
   * @param range the service of the organisations that wait there
   * @param now the current time in milliseconds
   */
  void onReport(String router, WaitingRange range, long now) {
    reports.put(router, new Report(range, now));
  }

  /**
   * Returns whether a job is held back for an organisation that received less.
   *
   * @param received the service of the job's organisation in tokens
   * @param now the current time in milliseconds
   * @return true when it is held back
   */
  boolean isAhead(double received, long now) {
    return elsewhere(now)
        .map(range -> received > range.least() * LEAD_FACTOR + LEAD_TOKENS)
        .orElse(false);
  }

  /**
   * Returns whether an organisation received clearly less than another one that waits.
   *
   * @param received the service of the organisation in tokens
   * @param local the service of the organisations that wait at this router
   * @param now the current time in milliseconds
   * @return true when it did
   */
  boolean isBehind(double received, Optional<WaitingRange> local, long now) {
    double most =
        Math.max(
            local.map(WaitingRange::most).orElse(0.0),
            elsewhere(now).map(WaitingRange::most).orElse(0.0));
    return received < most * BEHIND_PART;
  }

  /**
   * Returns the service of the organisations that wait at other routers.
   *
   * @param now the current time in milliseconds
   * @return the range, empty when none waits
   */
  Optional<WaitingRange> elsewhere(long now) {
    return reports.values().stream()
        .filter(report -> now - report.at() < EXPIRY_MILLIS)
        .map(Report::range)
        .reduce(WaitingRange::merge);
  }
}
