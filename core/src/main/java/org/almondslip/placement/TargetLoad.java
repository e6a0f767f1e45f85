package org.almondslip.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.almondslip.directory.TargetRecord;
import org.almondslip.pace.ColdPermit;
import org.almondslip.pace.TargetPace;

/**
 * Load of one target as known to this router. Requests of this router count immediately, those of
 * other routers when their reports arrive.
 */
public final class TargetLoad {

  /** Time after which the report of another router is ignored, in milliseconds. */
  static final long REPORT_EXPIRY_MILLIS = 1_000;

  /** Duration of the first ejection of a target, in milliseconds. */
  static final long EJECTION_MILLIS = 500;

  /** Maximum number of times that the ejection time is doubled. */
  static final int MAX_EJECTION_DOUBLINGS = 3;

  /** Consecutive failures after which a target is ejected. */
  static final int EJECTION_FAILURES = 2;

  /** Weight of a new measurement in the slowdown. */
  private static final double SLOWDOWN_WEIGHT = 0.05;

  /** Maximum slowdown, so that a target that was slow once is tried again. */
  private static final double MAX_SLOWDOWN = 4;

  private TargetRecord record;

  /** Prompt segments that the target caches. */
  private final PrefixCache cache;

  private final TargetPace pace;

  /** Tokens that running requests hold. */
  private final HeldTokens heldTokens;

  /** Pending prefill tokens of this router. */
  private long ownPendingPrefillTokens;

  /** Running requests of this router. */
  private int ownRequests;

  /** Latest reports of other routers by router name. */
  private final Map<String, Report> reports = new HashMap<>();

  /** Pending prefill tokens of other routers. */
  private long peerPendingPrefillTokens;

  /** Running requests of other routers. */
  private int peerRequests;

  /** Time at which the oldest report expires, in milliseconds. */
  private long reportsExpireAt = Long.MAX_VALUE;

  /** Failures since the last success. */
  private int failures;

  /** End of the ejection in milliseconds. */
  private long ejectedUntil = Long.MIN_VALUE;

  /** Whether the target has said that it is about to end. */
  private boolean leaving;

  /** Whether the data centre of the target is evacuated. */
  private boolean evacuated;

  /** Time at which the last evacuation was taken back, in milliseconds. */
  private OptionalLong evacuationEndedAt = OptionalLong.empty();

  /** End of the pause that the target has asked for, in milliseconds. */
  private long pausedUntil = Long.MIN_VALUE;

  /** Moving average of the ratio between measured and expected time to the first event. */
  private double slowdown = 1;

  private final TargetSpeed speed;

  /**
   * Load that another router puts on the target.
   *
   * @param pendingPrefillTokens the prompt tokens that the target has not prefilled yet
   * @param requests the number of running requests
   * @param receivedAt the time of the report in milliseconds
   */
  private record Report(long pendingPrefillTokens, int requests, long receivedAt) {}

  /**
   * Creates the load of an idle target.
   *
   * @param record the directory entry of the target
   * @param cacheTokens the capacity of its prefix cache in tokens, 0 if it is not an engine
   */
  public TargetLoad(TargetRecord record, long cacheTokens) {
    this(record, cacheTokens, TargetPace.unlimited(record));
  }

  /**
   * Creates the load of an idle target with a pace.
   *
   * @param record the directory entry of the target
   * @param cacheTokens the capacity of its prefix cache in tokens, 0 if it is not an engine
   * @param pace the pace of its requests
   */
  public TargetLoad(TargetRecord record, long cacheTokens, TargetPace pace) {
    this.record = record;
    this.cache = new PrefixCache(cacheTokens);
    this.speed = new TargetSpeed(isEngine());
    this.heldTokens = new HeldTokens(cacheTokens);
    this.pace = pace;
  }

  /**
   * Returns the pace of the requests to the target.
   *
   * @return the pace, which this router shares between all requests
   */
  public TargetPace pace() {
    return pace;
  }

  /**
   * Returns the directory entry of the target.
   *
   * @return the latest entry
   */
  public TargetRecord record() {
    return record;
  }

  /**
   * Returns whether the target is an inference engine.
   *
   * @return true if it has a prefix cache
   */
  public boolean isEngine() {
    return cache.capacity() > 0;
  }

  /**
   * Returns a key of this incarnation that is the same on all routers.
   *
   * @return a hash of the id and the start time of the target
   */
  public long incarnationKey() {
    return record.incarnationKey();
  }

  /**
   * Replaces the directory entry with a newer one of the same incarnation.
   *
   * @param next the entry
   */
  public void update(TargetRecord next) {
    record = next;
  }

  /**
   * Returns the prompt tokens of this router that the target has not prefilled yet.
   *
   * @return the number of tokens
   */
  public long ownPendingPrefillTokens() {
    return ownPendingPrefillTokens;
  }

  /**
   * Returns the requests of this router that the target has not finished.
   *
   * @return the number of requests
   */
  public int ownRequests() {
    return ownRequests;
  }

  /**
   * Returns the tokens of a prompt that the target would have to prefill.
   *
   * @param prompt the prompt
   * @return the number of tokens that are not cached
   */
  public int uncachedTokens(Prompt prompt) {
    return cache.uncachedTokens(prompt);
  }

  /**
   * Returns the prompt segments that the target is assumed to cache.
   *
   * @return a new list of the segments, the least recently used first
   */
  public List<Prompt.Segment> cachedSegments() {
    return cache.segments();
  }

  /**
   * Records that this router sent a request to the target.
   *
   * @param prompt the prompt of the request
   * @return the tokens that the target has to prefill, to be passed to {@link #onPrefilled} later
   */
  public int onSent(Prompt prompt) {
    int uncached = cache.uncachedTokens(prompt);
    cache.add(prompt);
    ownPendingPrefillTokens += uncached;
    ownRequests++;
    heldTokens.onSent(prompt);
    speed.onSent();
    return uncached;
  }

  /**
   * Records that another router sent a prompt to the target, which caches its segments.
   *
   * @param prompt the prompt
   */
  public void onPeerSent(Prompt prompt) {
    cache.add(prompt);
  }

  /**
   * Records that the target has prefilled a prompt of this router.
   *
   * @param tokens the number of tokens that {@link #onSent} returned
   */
  public void onPrefilled(int tokens) {
    ownPendingPrefillTokens = Math.max(0, ownPendingPrefillTokens - tokens);
  }

  /** Records that a request of this router has ended. */
  public void onEnded() {
    ownRequests = Math.max(0, ownRequests - 1);
    speed.onEnded();
    if (ownRequests == 0) {
      heldTokens.clearOwn();
    }
  }

  /**
   * Records that a request of this router has ended and no longer holds memory.
   *
   * @param prompt the prompt of the request
   */
  public void onEnded(Prompt prompt) {
    heldTokens.onEnded(prompt);
    onEnded();
  }

  /**
   * Returns the tokens that running requests hold.
   *
   * @return the tokens of all routers
   */
  public HeldTokens heldTokens() {
    return heldTokens;
  }

  /**
   * Records a load report of another router, which replaces its previous one.
   *
   * @param router the name of the router
   * @param tokens the prompt tokens that the target has not prefilled yet
   * @param count the number of running requests
   * @param now the current time in milliseconds
   */
  public void onPeerReport(String router, long tokens, int count, long now) {
    addToTotals(reports.put(router, new Report(tokens, count, now)), -1);
    addToTotals(reports.get(router), 1);
    reportsExpireAt = Math.min(reportsExpireAt, now + REPORT_EXPIRY_MILLIS);
    speed.onPeerPending(peerPendingPrefillTokens, now);
  }

  /**
   * Adds a report to the totals of other routers or subtracts it.
   *
   * @param report the report, or null
   * @param sign 1 to add the report, -1 to subtract it
   */
  private void addToTotals(Report report, int sign) {
    if (report != null) {
      peerPendingPrefillTokens += sign * report.pendingPrefillTokens();
      peerRequests += sign * report.requests();
    }
  }

  /** Removes expired reports. */
  private void expireReports(long now) {
    if (now < reportsExpireAt) {
      return;
    }
    reportsExpireAt = Long.MAX_VALUE;
    for (Iterator<Report> all = reports.values().iterator(); all.hasNext(); ) {
      Report report = all.next();
      if (now - report.receivedAt() >= REPORT_EXPIRY_MILLIS) {
        addToTotals(report, -1);
        all.remove();
      } else {
        reportsExpireAt = Math.min(reportsExpireAt, report.receivedAt() + REPORT_EXPIRY_MILLIS);
      }
    }
  }

  /**
   * Returns the prompt tokens of all routers that the target has not prefilled yet.
   *
   * @param now the current time in milliseconds
   * @return the number of tokens
   */
  public long pendingPrefillTokens(long now) {
    expireReports(now);
    return ownPendingPrefillTokens + peerPendingPrefillTokens;
  }

  /**
   * Returns the requests of all routers that the target has not finished.
   *
   * @param now the current time in milliseconds
   * @return the number of requests
   */
  public int requests(long now) {
    expireReports(now);
    return speed.requests(ownRequests + peerRequests, now);
  }

  /**
   * Returns how much slower the target responds than the performance model expects.
   *
   * @return the factor, at least 1
   */
  public double slowdown() {
    return slowdown;
  }

  /**
   * Returns the estimated speed of the target.
   *
   * @return the speed, which is in force only for some services
   */
  public TargetSpeed speed() {
    return speed;
  }

  /**
   * Returns the expected duration of prefill relative to the performance model.
   *
   * @param now the current time in milliseconds
   * @return the factor, the slowdown unless the estimated speed is in force
   */
  public double prefillFactor(long now) {
    return speed.isInForce(now) ? speed.prefillFactor(now) : slowdown;
  }

  /**
   * Updates the slowdown with a measured time to the first event.
   *
   * @param measuredMillis the measured time in milliseconds
   * @param expectedMillis the expected time in milliseconds
   */
  public void onFirstEvent(double measuredMillis, double expectedMillis) {
    double factor = Math.max(1, Math.min(MAX_SLOWDOWN, measuredMillis / expectedMillis));
    slowdown += SLOWDOWN_WEIGHT * (factor - slowdown);
  }

  /** Records that the target served a request. */
  public void onSuccess() {
    failures = 0;
    pace.onSuccess();
  }

  /**
   * Records a failure of the target, which is ejected after consecutive failures.
   *
   * @param now the current time in milliseconds
   */
  public void onFailure(long now) {
    failures++;
    pace.onFailure(now);
    if (failures >= EJECTION_FAILURES) {
      int doublings = Math.min(failures - EJECTION_FAILURES, MAX_EJECTION_DOUBLINGS);
      ejectedUntil = now + (EJECTION_MILLIS << doublings);
      pace.onEjected(ejectedUntil);
    }
  }

  /**
   * Records that the target said in a response that it is about to end. It stays so until another
   * incarnation replaces it, whatever the directory says.
   *
   * @return true if this was not known
   */
  public boolean onLeaving() {
    boolean added = !leaving;
    leaving = true;
    return added;
  }

  /**
   * Records that the target wants no requests of this router for some time.
   *
   * @param millis the duration in milliseconds
   * @param now the current time in milliseconds
   */
  public void onPause(long millis, long now) {
    pausedUntil = Math.max(pausedUntil, now + millis);
  }

  /** Records that the data centre of the target is evacuated. */
  public void onEvacuated() {
    evacuated = true;
  }

  /**
   * Records that the evacuation of the target's data centre was taken back.
   *
   * @param endedAt the time at which this router learned of it, in milliseconds; it lies in the
   *     past if the target has appeared since
   */
  public void onEvacuationEnded(long endedAt) {
    evacuated = false;
    evacuationEndedAt = OptionalLong.of(endedAt);
    pace.onEvacuationEnded(endedAt);
  }

  /**
   * Returns whether the data centre of the target is evacuated.
   *
   * @return true while nothing may be sent to the target
   */
  public boolean isEvacuated() {
    return evacuated;
  }

  /**
   * Returns when the last evacuation of the target's data centre was taken back.
   *
   * @return the time in milliseconds, empty if there was none
   */
  public OptionalLong evacuationEndedAt() {
    return evacuationEndedAt;
  }

  /**
   * Returns whether the target accepts new requests, possibly after a pause.
   *
   * @return false if it is draining, has said that it is leaving or is evacuated
   */
  public boolean isInService() {
    return record.state() == TargetRecord.State.READY && !leaving && !evacuated;
  }

  /**
   * Returns whether the target accepts new requests now.
   *
   * @param now the current time in milliseconds
   * @return false if it is not in service, has asked for a pause or is cold without a permit
   */
  public boolean acceptsRequests(long now) {
    return isInService() && remainingPauseMillis(now) == 0;
  }

  /**
   * Returns whether a request that was dispatched to the target may still be sent.
   *
   * @param permit the permit that was taken for the request
   * @param now the current time in milliseconds
   * @return false if the target no longer accepts requests for which no permit was taken
   */
  public boolean acceptsDispatched(ColdPermit permit, long now) {
    return isInService() && requestedPauseMillis(now) == 0 && pace.allows(permit, now);
  }

  /**
   * Returns the rest of the pause that the target has asked for or that its pace requires.
   *
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 without a pause
   */
  public long remainingPauseMillis(long now) {
    return Math.max(requestedPauseMillis(now), pace.waitMillis(now));
  }

  /**
   * Returns the rest of the pause that the target has asked for.
   *
   * @param now the current time in milliseconds
   * @return the time in milliseconds, 0 without a pause
   */
  public long requestedPauseMillis(long now) {
    return now >= pausedUntil ? 0 : pausedUntil - now;
  }

  /**
   * Returns whether the target is avoided because of recent failures.
   *
   * @param now the current time in milliseconds
   * @return true until its ejection ends
   */
  public boolean isEjected(long now) {
    return now < ejectedUntil;
  }
}
