package org.almondslip.pace;

import java.util.List;
import java.util.Optional;
import org.almondslip.directory.TargetRecord;

/**
 * Pace at which this router may send requests to one target.
 *
 * <p>Addresses the full load that all routers put on a target that has just started: while it is
 * cold, only few routers send to it, each at a fixed rate. Whether it is cold follows from what the
 * target, its entry and other routers say, and from events after which it may have restarted.
 */
public final class TargetPace {

  /** Factor on the expected time above which a response is late. */
  private static final double LATE_FACTOR = 2;

  /**
   * Time that a response may take beyond that, in milliseconds: a round trip between regions and a
   * decoding step, which the expected time of prefill does not include.
   */
  private static final double LATE_ALLOWANCE_MILLIS = 100;

  /** Consecutive connections that a target refuses or loses before it is taken to be cold. */
  static final int COLD_FAILURES = 2;

  /**
   * Interval of the health checks of a router, in milliseconds. The platform charges for each of
   * them, and a cold period lasts for seconds.
   */
  static final long PROBE_INTERVAL_MILLIS = 1_000;

  /**
   * Time after a response for which this router does not adopt a window that another router starts,
   * in milliseconds. The cause may be the links of that router; a restart takes longer.
   */
  private static final long RESPONSIVE_MILLIS = 1_000;

  private final FleetPace fleet;

  private final String target;

  private final String service;

  private final long key;

  private final int slots;

  private final ColdEvidence evidence = new ColdEvidence();

  /** End of the time for which the target is cold, in milliseconds. */
  private long coldUntil = Long.MIN_VALUE;

  /** End of the time for which the target may be cold, in milliseconds. */
  private long suspectedUntil = Long.MIN_VALUE;

  /** Number of cold periods so far. */
  private long period;

  /** Time of the next permit in milliseconds. */
  private long nextPermitAt = Long.MIN_VALUE;

  /** Time of the next health check in milliseconds. */
  private long nextProbeAt = Long.MIN_VALUE;

  /** Consecutive connections that the target refused or lost. */
  private int failures;

  /** Time at which the latest check was sent that found the target to be warm, in milliseconds. */
  private long warmAt = Long.MIN_VALUE;

  /** Time of the latest response in milliseconds. */
  private long respondedAt = Long.MIN_VALUE;

  /** Version of the fleet for which plan and selection were computed. */
  private long version;

  private ColdPlan plan = ColdPlan.UNLIMITED;

  /** Number of routers with smaller hashes for the target than this router. */
  private int rank;

  private final RampWindow window = new RampWindow();

  /** Part of the window that this router may use, as of its latest check. */
  private int allowance = 1;

  /** Names of the routers that may send to the target while it is cold. */
  private List<String> selection = List.of();

  /** Whether this router is one of them. */
  private boolean selected;

  TargetPace(FleetPace fleet, TargetRecord record) {
    this.fleet = fleet;
    this.target = record.id();
    this.service = record.service();
    this.key = record.incarnationKey();
    this.slots = record.slots();
  }

  /**
   * Creates the pace of a target that is not limited.
   *
   * @param record the entry of the target
   * @return the pace
   */
  public static TargetPace unlimited(TargetRecord record) {
    return new TargetPace(FleetPace.unlimited(), record);
  }

  /**
   * Records that the target has started during traffic.
   *
   * @param now the current time in milliseconds
   */
  public void onStarted(long now) {
    assume(ColdReason.STARTED, now);
    if (!isCold(now)) {
      startWindow(now);
    }
  }

  /**
   * Applies what the entry of the target says. An entry with 0 also ends the time for which the
   * target is cold after an evacuation.
   *
   * @param coldMillis the remaining time for which the target is cold, in milliseconds
   * @param now the current time in milliseconds
   */
  public void onEntry(long coldMillis, long now) {
    if (coldMillis > 0) {
      add(ColdReason.ENTRY, coldMillis, now);
    } else {
      evidence.remove(ColdReason.ENTRY);
      evidence.remove(ColdReason.EVACUATION);
      update(ColdReason.ENTRY, now);
    }
  }

  /**
   * Records that the evacuation of the target's data centre was taken back.
   *
   * @param now the current time in milliseconds
   */
  public void onEvacuationEnded(long now) {
    assume(ColdReason.EVACUATION, now);
  }

  /**
   * Records that the target refused or lost a connection.
   *
   * @param now the current time in milliseconds
   */
  public void onConnectionFailure(long now) {
    failures++;
    if (failures >= COLD_FAILURES) {
      assume(ColdReason.CONNECTIONS, now);
    }
  }

  /** Records that the target completed a response. */
  public void onSuccess() {
    failures = 0;
  }

  /**
   * Applies the time that the target took to respond to its window.
   *
   * @param measuredMillis the time to the first event or to a complete response, in milliseconds
   * @param expectedMillis the expected time in milliseconds, infinite if it is not known
   * @param now the current time in milliseconds
   */
  public void onResponse(double measuredMillis, double expectedMillis, long now) {
    respondedAt = now;
    window.onResponseTime(measuredMillis);
    if (measuredMillis > LATE_FACTOR * expectedMillis + LATE_ALLOWANCE_MILLIS) {
      decrease(WindowChange.LATE, now);
    } else if (window.isActive()) {
      window.onTime(allowance, now - measuredMillis, now);
      afterWindowChange();
    }
  }

  /**
   * Records that the target refused a request.
   *
   * @param now the current time in milliseconds
   */
  public void onRefused(long now) {
    decrease(WindowChange.REFUSED, now);
  }

  /**
   * Records a failure of the target.
   *
   * @param now the current time in milliseconds
   */
  public void onFailure(long now) {
    decrease(WindowChange.FAILED, now);
  }

  /**
   * Records that the target is ejected after failures.
   *
   * @param until the end of the ejection in milliseconds
   */
  public void onEjected(long until) {
    startWindow(until);
  }

  /** Records that the target states the current duration of its work. */
  public void onWorkStated() {
    fleet.onWorkStated(service);
  }

  /**
   * Returns whether the window of the target leaves room for a request of this router.
   *
   * @param own the running requests of this router
   * @param others the running requests of other routers
   * @param limit the number of requests from which on the target is not paced
   * @param now the current time in milliseconds
   * @return true if there is room or no window
   */
  public boolean hasRoom(int own, int others, double limit, long now) {
    if (!window.isActive()) {
      return true;
    }
    window.setLimit(limit, now);
    afterWindowChange();
    allowance = WindowShare.of(window.size(), others, fleet.sharing(), rank(), fleet.hearing(now));
    return !window.isActive() || own < allowance;
  }

  /**
   * Applies a response to a health check, which replaces all older evidence.
   *
   * @param coldMillis the remaining time for which the target is cold, in milliseconds
   * @param sentAt the time at which the check was sent, in milliseconds
   * @param now the current time in milliseconds
   */
  public void onHealth(long coldMillis, long sentAt, long now) {
    final boolean suspected = isCold(now) || now < suspectedUntil;
    evidence.voidUntil(sentAt);
    failures = 0;
    if (coldMillis > 0) {
      add(ColdReason.HEALTH, coldMillis, Math.max(now, sentAt + 1));
      return;
    }
    update(ColdReason.HEALTH, now);
    if (suspected) {
      warmAt = sentAt;
    }
  }

  /**
   * Applies the report of another router.
   *
   * @param router the name of the router
   * @param status the status that it reports
   * @param now the current time in milliseconds
   */
  public void onPeerReport(String router, PaceStatus status, long now) {
    if (status.coldMillis() > 0 && currentPlan().routers() > 0) {
      applyCold(router, status, now);
    }
    if (status.decreases() > 0 && fleet.hasWindows(service)) {
      applyWindow(status, now);
    }
  }

  private void applyCold(String router, PaceStatus status, long now) {
    boolean fact = selection.contains(router);
    if (status.isCold()) {
      ColdReason reason = fact ? ColdReason.PEER : ColdReason.SUSPECTED;
      evidence.addReport(reason, router, status.coldMillis(), now);
      update(reason, now);
    } else if (fact) {
      evidence.voidUntil(now - status.coldMillis());
      update(ColdReason.PEER, now);
    }
  }

  private void applyWindow(PaceStatus status, long now) {
    boolean newer = status.decreases() > window.decreases() && status.window() > 0;
    if (newer && !window.isActive() && now - RESPONSIVE_MILLIS < respondedAt) {
      return;
    }
    window.merge(status.window(), status.decreases(), slots, now);
    afterWindowChange();
    if (newer) {
      fleet.listener().onWindow(target, WindowChange.PEER, window.size());
    }
  }

  /**
   * Returns what this router reports to others of a cold period. Reports of others are not passed
   * on, since each transfer would prolong the time.
   */
  private long reportedColdMillis(long now) {
    long until = isCold(now) ? evidence.until(this::isReported, now) : Long.MIN_VALUE;
    if (until > now + PaceStatus.MAX_WARM_MILLIS) {
      return until - now;
    }
    boolean warm = !isCold(now) && now - PaceStatus.MAX_WARM_MILLIS < warmAt;
    return warm ? Math.max(1, now - warmAt) : 0;
  }

  /**
   * Returns the status to report to other routers.
   *
   * @param now the current time in milliseconds
   * @return the status
   */
  public PaceStatus status(long now) {
    long coldMillis = reportedColdMillis(now);
    int decreases = window.reportedDecreases(now);
    return coldMillis == 0 && decreases == 0
        ? PaceStatus.NONE
        : new PaceStatus(coldMillis, window.reportedWindow(), decreases);
  }

  /**
   * Returns whether the target is taken to be cold.
   *
   * @param now the current time in milliseconds
   * @return true if its requests are limited
   */
  public boolean isCold(long now) {
    return now < coldUntil && currentPlan().routers() > 0;
  }

  /**
   * Returns the time until this router may send a request to the target.
   *
   * @param now the current time in milliseconds
   * @return the time until the next permit or the end of the cold period, in milliseconds; 0 if a
   *     request may be sent now
   */
  public long waitMillis(long now) {
    if (!isCold(now)) {
      return 0;
    }
    long untilWarm = coldUntil - now;
    return selected ? Math.min(untilWarm, Math.max(0, nextPermitAt - now)) : untilWarm;
  }

  /**
   * Returns the time until this router may send a request to the target after others.
   *
   * @param ahead the number of requests that are sent before
   * @param now the current time in milliseconds
   * @return the time in milliseconds
   */
  public long waitMillis(double ahead, long now) {
    long first = waitMillis(now);
    if (!isCold(now) || !selected) {
      return first;
    }
    return Math.min(coldUntil - now, first + (long) (ahead * plan.intervalMillis()));
  }

  /**
   * Takes a permit for a request that is dispatched now. Must be called once for each request, and
   * only if it does not have to wait.
   *
   * @param now the current time in milliseconds
   */
  public void takePermit(long now) {
    if (isCold(now)) {
      nextPermitAt = now + plan.intervalMillis();
      fleet.listener().onPermitGranted();
    }
  }

  /**
   * Returns the permit of a request that was dispatched just now.
   *
   * @param now the current time in milliseconds
   * @return the permit that was taken for it
   */
  public ColdPermit permit(long now) {
    return new ColdPermit(isCold(now) ? period : 0, now);
  }

  /**
   * Returns whether a dispatched request may be sent now.
   *
   * @param permit the permit that was taken for it
   * @param now the current time in milliseconds
   * @return false if the target has become cold since then, or the permit has expired
   */
  public boolean allows(ColdPermit permit, long now) {
    if (!isCold(now)) {
      return true;
    }
    if (permit.period() != period) {
      fleet.listener().onPermitWithheld(WithholdReason.BECAME_COLD);
      return false;
    }
    if (now - permit.takenAt() > ColdPermit.VALID_MILLIS) {
      fleet.listener().onPermitWithheld(WithholdReason.PERMIT_EXPIRED);
      return false;
    }
    return true;
  }

  /**
   * Returns whether this router may send to the target while it is cold.
   *
   * @return true if it is one of the selected routers
   */
  public boolean isSelected() {
    return currentPlan().routers() > 0 && selected;
  }

  /**
   * Returns whether this router must check the health of the target now. The next check is due
   * after {@link #PROBE_INTERVAL_MILLIS}.
   *
   * @param now the current time in milliseconds
   * @return true if the target may be cold, this router may send to it and a check is due
   */
  public boolean startProbe(long now) {
    boolean suspected = now < suspectedUntil || now < coldUntil;
    if (!suspected || now < nextProbeAt || !isSelected()) {
      return false;
    }
    nextProbeAt = now + PROBE_INTERVAL_MILLIS;
    return true;
  }

  /**
   * Returns the path of the health check of the target.
   *
   * @return the path, empty if the service has none
   */
  public Optional<String> healthPath() {
    return Optional.of(fleet.policy(service).healthPath()).filter(path -> path.startsWith("/"));
  }

  /** Notifies the listener when the cold period has ended. */
  void tick(long now) {
    if (!isCold(now)) {
      update(ColdReason.ELAPSED, now);
    }
  }

  /**
   * Returns whether evidence is reported. The selected routers report what they know from the
   * target or its entry, for routers that have just started; the others report their failures.
   */
  private boolean isReported(ColdReason reason) {
    return switch (reason) {
      case HEALTH -> true;
      case ENTRY, STARTED, EVACUATION -> selected;
      case CONNECTIONS -> !selected;
      case PEER, SUSPECTED, ELAPSED -> false;
    };
  }

  /** Increases a window without load. */
  void tickWindow(long now) {
    window.tick(now);
    afterWindowChange();
  }

  private void startWindow(long now) {
    if (fleet.hasWindows(service) && window.start(slots, now)) {
      fleet.listener().onWindow(target, WindowChange.STARTED, window.size());
      afterWindowChange();
    }
  }

  private void decrease(WindowChange change, long now) {
    if (window.decrease(now)) {
      fleet.listener().onWindow(target, change, window.size());
    }
  }

  /** Updates the set of paced targets and notifies the listener of the end of pacing. */
  private void afterWindowChange() {
    if (window.isActive()) {
      fleet.ramping().add(this);
    } else if (fleet.ramping().remove(this)) {
      fleet.listener().onWindow(target, WindowChange.ENDED, window.size());
    }
  }

  /** Returns the number of routers with smaller hashes for the target than this router. */
  private int rank() {
    currentPlan();
    return rank;
  }

  /** Takes the target to be cold for the time after a start. */
  private void assume(ColdReason reason, long now) {
    add(reason, fleet.policy(service).coldStartMillis(), now);
  }

  private void add(ColdReason reason, long coldMillis, long now) {
    if (currentPlan().routers() > 0) {
      evidence.add(reason, coldMillis, now);
      update(reason, now);
    }
  }

  /** Determines whether the target is cold after a change. */
  private void update(ColdReason reason, long now) {
    final boolean known = fleet.cold().contains(this);
    final boolean checked = now < coldUntil || now < suspectedUntil;
    coldUntil = evidence.until(kind -> kind != ColdReason.SUSPECTED, now);
    suspectedUntil = evidence.until(kind -> kind == ColdReason.SUSPECTED, now);
    if (!checked && isSelected()) {
      long offset = selection.indexOf(fleet.router()) * PROBE_INTERVAL_MILLIS / selection.size();
      nextProbeAt = Math.max(nextProbeAt, now + offset);
    }
    if (isCold(now) && !known) {
      period++;
      nextPermitAt = Math.max(nextPermitAt, now + plan.intervalMillis());
      fleet.cold().add(this);
      fleet.listener().onCold(target, reason, coldUntil - now);
    } else if (!isCold(now) && known) {
      fleet.cold().remove(this);
      fleet.listener().onWarm(target, reason);
      startWindow(now);
    }
  }

  /** Returns the plan, after updating plan and selection for a change of the fleet. */
  private ColdPlan currentPlan() {
    if (version != fleet.version()) {
      version = fleet.version();
      plan = fleet.plan(service);
      rank = fleet.rank(key);
      boolean before = selected;
      selection = fleet.selection(key, plan.routers());
      selected = selection.contains(fleet.router());
      if (selected && !before) {
        // The router that was selected before may just have sent a request.
        nextPermitAt = Math.max(nextPermitAt, fleet.selectedFrom() + plan.intervalMillis());
      }
    }
    return plan;
  }
}
