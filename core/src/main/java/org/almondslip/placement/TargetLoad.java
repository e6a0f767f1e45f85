package org.almondslip.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.almondslip.directory.TargetRecord;

/**
 * Work of one target as this router knows it: its own requests at once, those of other routers when
 * their reports arrive.
 */
public final class TargetLoad {

  /** Time after which the report of another router no longer counts, in milliseconds. */
  static final long REPORT_EXPIRY_MILLIS = 1_000;

  /** Time for which a target that failed is avoided at first, in milliseconds. */
  static final long EJECTION_MILLIS = 500;

  /** Largest number of doublings of the ejection time. */
  static final int MAX_EJECTION_DOUBLINGS = 3;

  /** Consecutive failures after which a target is avoided. */
  static final int EJECTION_FAILURES = 2;

  /** Weight of a new measurement in the slowdown. */
  private static final double SLOWDOWN_WEIGHT = 0.05;

  /** Largest slowdown, so that a target that was slow once is tried again. */
  private static final double MAX_SLOWDOWN = 4;

  /** Entry of the target. */
  private TargetRecord record;

  /** Prompt parts that the target keeps. */
  private final PrefixCache cache;

  /** Prompt tokens of this router that the target has not read. */
  private long unreadTokens;

  /** Requests of this router at the target. */
  private int requests;

  /** Reports of other routers by their name. */
  private final Map<String, Report> reports = new HashMap<>();

  /** Prompt tokens of other routers that the target has not read. */
  private long peerUnreadTokens;

  /** Requests of other routers at the target. */
  private int peerRequests;

  /** Time at which the oldest report no longer counts, in milliseconds. */
  private long reportsExpireAt = Long.MAX_VALUE;

  /** Failures since the last success. */
  private int failures;

  /** Time until which the target is avoided, in milliseconds. */
  private long ejectedUntil = Long.MIN_VALUE;

  /** Times to the first event compared with the model of an undisturbed engine. */
  private double slowdown = 1;

  /**
   * Load that another router puts on the target.
   *
   * @param unreadTokens the prompt tokens that the target has not read
   * @param requests the requests at the target
   * @param at the time of the report in milliseconds
   */
  private record Report(long unreadTokens, int requests, long at) {}

  /**
   * Creates the load of an idle target.
   *
   * @param record the entry of the target
   * @param memoryTokens the tokens that its cache of prompt parts holds
   */
  public TargetLoad(TargetRecord record, long memoryTokens) {
    this.record = record;
    this.cache = new PrefixCache(memoryTokens);
  }

  /**
   * Returns the entry of the target.
   *
   * @return the entry
   */
  public TargetRecord record() {
    return record;
  }

  /**
   * Returns whether the target is a model engine.
   *
   * @return true when it keeps prompt parts
   */
  public boolean isEngine() {
    return cache.capacity() > 0;
  }

  /**
   * Returns a key that all routers share.
   *
   * @return a hash of the id and the start of the target
   */
  public long incarnationKey() {
    return (long) record.id().hashCode() << Integer.SIZE ^ Long.hashCode(record.startMillis());
  }

  /**
   * Replaces the entry by a newer one of the same incarnation.
   *
   * @param next the entry
   */
  public void update(TargetRecord next) {
    record = next;
  }

  /**
   * Returns the prompt tokens of this router that the target has not read.
   *
   * @return the tokens
   */
  public long ownPendingPrefillTokens() {
    return unreadTokens;
  }

  /**
   * Returns the requests of this router at the target.
   *
   * @return the number
   */
  public int ownRequests() {
    return requests;
  }

  /**
   * Returns the tokens of a prompt that the target would have to read.
   *
   * @param prompt the prompt
   * @return the tokens
   */
  public int uncachedTokens(Prompt prompt) {
    return cache.uncachedTokens(prompt);
  }

  /**
   * Notes that a request was sent to the target.
   *
   * @param prompt the prompt
   * @return the tokens that the target has to read, which {@link #onPrefilled} takes off again
   */
  public int onSent(Prompt prompt) {
    int missing = cache.uncachedTokens(prompt);
    cache.onPrefilled(prompt);
    unreadTokens += missing;
    requests++;
    return missing;
  }

  /**
   * Notes that the target keeps the parts of a prompt that another router sent.
   *
   * @param prompt the parts
   */
  public void onPeerSent(Prompt prompt) {
    cache.onPrefilled(prompt);
  }

  /**
   * Notes that the target has read a prompt.
   *
   * @param tokens the tokens that it had to read
   */
  public void onPrefilled(int tokens) {
    unreadTokens = Math.max(0, unreadTokens - tokens);
  }

  /** Notes that a request has ended. */
  public void onEnded() {
    requests = Math.max(0, requests - 1);
  }

  /**
   * Takes a report of another router.
   *
   * @param router the name of the router
   * @param tokens the prompt tokens that the target has not read
   * @param count the requests at the target
   * @param now the current time in milliseconds
   */
  public void onPeerReport(String router, long tokens, int count, long now) {
    count(reports.put(router, new Report(tokens, count, now)), -1);
    count(reports.get(router), 1);
    reportsExpireAt = Math.min(reportsExpireAt, now + REPORT_EXPIRY_MILLIS);
  }

  /**
   * Adds a report to the sums or takes it off.
   *
   * @param report the report, null when there is none
   * @param sign 1 to add it, -1 to take it off
   */
  private void count(Report report, int sign) {
    if (report != null) {
      peerUnreadTokens += sign * report.unreadTokens();
      peerRequests += sign * report.requests();
    }
  }

  /**
   * Forgets reports that no longer count.
   *
   * @param now the current time in milliseconds
   */
  private void expireReports(long now) {
    if (now < reportsExpireAt) {
      return;
    }
    reportsExpireAt = Long.MAX_VALUE;
    for (Iterator<Report> all = reports.values().iterator(); all.hasNext(); ) {
      Report report = all.next();
      if (now - report.at() >= REPORT_EXPIRY_MILLIS) {
        count(report, -1);
        all.remove();
      } else {
        reportsExpireAt = Math.min(reportsExpireAt, report.at() + REPORT_EXPIRY_MILLIS);
      }
    }
  }

  /**
   * Returns the unread prompt tokens of all routers.
   *
   * @param now the current time in milliseconds
   * @return the tokens
   */
  public long pendingPrefillTokens(long now) {
    expireReports(now);
    return unreadTokens + peerUnreadTokens;
  }

  /**
   * Returns the requests of all routers.
   *
   * @param now the current time in milliseconds
   * @return the number
   */
  public int requests(long now) {
    expireReports(now);
    return requests + peerRequests;
  }

  /**
   * Returns how much slower the target answers than the model expects.
   *
   * @return the factor, at least 1
   */
  public double slowdown() {
    return slowdown;
  }

  /**
   * Takes a measured time to the first event.
   *
   * @param measuredMillis the measured time in milliseconds
   * @param expectedMillis the expected time in milliseconds
   */
  public void onFirstEvent(double measuredMillis, double expectedMillis) {
    double factor = Math.max(1, Math.min(MAX_SLOWDOWN, measuredMillis / expectedMillis));
    slowdown += SLOWDOWN_WEIGHT * (factor - slowdown);
  }

  /** Notes that the target served a request. */
  public void onSuccess() {
    failures = 0;
  }

  /**
   * Notes that the target failed.
   *
   * @param now the current time in milliseconds
   */
  public void onFailure(long now) {
    failures++;
    if (failures >= EJECTION_FAILURES) {
      int doublings = Math.min(failures - EJECTION_FAILURES, MAX_EJECTION_DOUBLINGS);
      ejectedUntil = now + (EJECTION_MILLIS << doublings);
    }
  }

  /**
   * Returns whether the target is avoided because it failed.
   *
   * @param now the current time in milliseconds
   * @return true when it is avoided
   */
  public boolean isEjected(long now) {
    return now < ejectedUntil;
  }
}
