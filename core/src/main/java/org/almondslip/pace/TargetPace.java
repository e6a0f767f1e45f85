package org.almondslip.pace;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.directory.TargetRecord;

/**
 * Pace at which this router may send requests to one target.
 *
 * <p>Addresses the full load that all routers put on a target that has just started: while it is
 * cold, only few routers send to it, each at a fixed rate. Whether it is cold follows from what the
 * target, its entry and other routers say, and from events after which it may have restarted.
 */
public final class TargetPace {

  /** Consecutive connections that a target refuses or loses before it is taken to be cold. */
  static final int COLD_FAILURES = 2;

  /**
   * Time for which this router reports that a health check has found the target to be warm, in
   * milliseconds. It covers three reports between regions.
   */
  static final long WARM_REPORT_DURATION_MILLIS = 600;

  /**
   * Age of the oldest health check that another router reports, in milliseconds: the time for which
   * it is reported, the timeout of the check and the transfer.
   */
  static final long MAX_WARM_REPORT_AGE_MILLIS = 1_500;

  /**
   * Difference below which two reports of a router refer to the same end of a cold period, in
   * milliseconds. It covers the variation of transfer times.
   */
  private static final long SAME_END_MILLIS = 500;

  /**
   * Time after which a repeated report counts as new evidence, in milliseconds. Its sender has
   * evidence that is younger than the latest health check, so another check is due.
   */
  private static final long RENEWAL_MILLIS = 2_000;

  /** Maximum time for which a target is taken to be cold, in milliseconds. */
  private static final long MAX_COLD_MILLIS = 600_000;

  private final FleetPace fleet;

  private final String target;

  private final String service;

  private final long key;

  /** Evidence by its source. */
  private final Map<Source, Evidence> evidence = new HashMap<>();

  /** Time up to which evidence is void, in milliseconds: that of the latest health check. */
  private long voidUntil = Long.MIN_VALUE;

  /** End of the time for which the target is cold, in milliseconds. */
  private long coldUntil = Long.MIN_VALUE;

  /** Number of cold periods so far. */
  private long period;

  /** Time of the next permit in milliseconds. */
  private long nextPermitAt = Long.MIN_VALUE;

  /** Consecutive connections that the target refused or lost. */
  private int failures;

  /** End of the time for which the target is reported to be warm, in milliseconds. */
  private long reportWarmUntil = Long.MIN_VALUE;

  /** Version of the fleet for which plan and selection were computed. */
  private long version;

  private ColdPlan plan = ColdPlan.UNLIMITED;

  /** Whether this router may send to the target while it is cold. */
  private boolean selected;

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

  TargetPace(FleetPace fleet, TargetRecord record) {
    this.fleet = fleet;
    this.target = record.id();
    this.service = record.service();
    this.key = record.incarnationKey();
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
      add(new Source(ColdReason.ENTRY, ""), now, coldMillis);
    } else {
      evidence.remove(new Source(ColdReason.ENTRY, ""));
      evidence.remove(new Source(ColdReason.EVACUATION, ""));
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
  public void onResponse() {
    failures = 0;
  }

  /**
   * Applies a response to a health check, which replaces all older evidence.
   *
   * @param coldMillis the remaining time for which the target is cold, in milliseconds
   * @param sentAt the time at which the check was sent, in milliseconds
   * @param now the current time in milliseconds
   */
  public void onHealth(long coldMillis, long sentAt, long now) {
    boolean wasCold = isCold(now);
    voidUntil = Math.max(voidUntil, sentAt);
    failures = 0;
    if (coldMillis > 0) {
      add(new Source(ColdReason.HEALTH, ""), Math.max(now, sentAt + 1), coldMillis);
      return;
    }
    update(ColdReason.HEALTH, now);
    if (wasCold && !isCold(now)) {
      reportWarmUntil = now + WARM_REPORT_DURATION_MILLIS;
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
    long coldMillis = status.coldMillis();
    if (coldMillis == PaceStatus.WARM_MILLIS) {
      voidUntil = Math.max(voidUntil, now - MAX_WARM_REPORT_AGE_MILLIS);
      update(ColdReason.PEER, now);
    } else if (coldMillis > 0) {
      Source source = new Source(ColdReason.PEER, router);
      Evidence known = evidence.get(source);
      boolean same =
          known != null
              && now + coldMillis <= known.until() + SAME_END_MILLIS
              && now - known.at() < RENEWAL_MILLIS;
      add(source, same ? known.at() : now, now + coldMillis, now);
    }
  }

  /**
   * Returns what this router reports to others. Reports of others are not passed on, since each
   * transfer would prolong the time. What all routers learn at the same time is reported by the
   * selected routers only, for routers that have just started.
   *
   * @param now the current time in milliseconds
   * @return the remaining time for which the target is cold, in milliseconds; {@link
   *     PaceStatus#WARM_MILLIS} if a health check has just found it to be warm, 0 if nothing is
   *     known
   */
  long reportedColdMillis(long now) {
    if (!isCold(now)) {
      return now < reportWarmUntil ? PaceStatus.WARM_MILLIS : 0;
    }
    long until = Long.MIN_VALUE;
    for (Map.Entry<Source, Evidence> entry : evidence.entrySet()) {
      if (isReported(entry.getKey().reason()) && entry.getValue().at() > voidUntil) {
        until = Math.max(until, entry.getValue().until());
      }
    }
    return until <= now ? 0 : Math.max(PaceStatus.WARM_MILLIS + 1, until - now);
  }

  /**
   * Returns the status to report to other routers.
   *
   * @param now the current time in milliseconds
   * @return the status
   */
  public PaceStatus status(long now) {
    long coldMillis = reportedColdMillis(now);
    return coldMillis == 0 ? PaceStatus.NONE : new PaceStatus(coldMillis, 0, 0);
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
   * Returns whether this router checks the health of the target.
   *
   * @param now the current time in milliseconds
   * @return true while the target is cold and this router may send to it
   */
  public boolean isProbed(long now) {
    return isCold(now) && selected;
  }

  /** Notifies the listener when the cold period has ended. */
  void tick(long now) {
    if (!isCold(now)) {
      update(ColdReason.ELAPSED, now);
    }
  }

  private boolean isReported(ColdReason reason) {
    return switch (reason) {
      case HEALTH, CONNECTIONS -> true;
      case ENTRY, STARTED, EVACUATION -> selected;
      case PEER, ELAPSED -> false;
    };
  }

  /** Takes the target to be cold for the time after a start. */
  private void assume(ColdReason reason, long now) {
    add(new Source(reason, ""), now, fleet.policy(service).coldStartMillis());
  }

  private void add(Source source, long at, long millis) {
    add(source, at, at + Math.min(MAX_COLD_MILLIS, millis), at);
  }

  private void add(Source source, long at, long until, long now) {
    if (currentPlan().routers() == 0) {
      return;
    }
    evidence.put(source, new Evidence(at, Math.min(until, now + MAX_COLD_MILLIS)));
    update(source.reason(), now);
  }

  /** Determines whether the target is cold after a change. */
  private void update(ColdReason reason, long now) {
    boolean known = fleet.cold().contains(this);
    evidence.values().removeIf(entry -> entry.until() <= now);
    coldUntil = Long.MIN_VALUE;
    for (Evidence entry : evidence.values()) {
      if (entry.at() > voidUntil) {
        coldUntil = Math.max(coldUntil, entry.until());
      }
    }
    if (isCold(now) && !known) {
      period++;
      nextPermitAt = Math.max(nextPermitAt, now + plan.intervalMillis());
      fleet.cold().add(this);
      fleet.listener().onCold(target, reason, coldUntil - now);
    } else if (!isCold(now) && known) {
      fleet.cold().remove(this);
      fleet.listener().onWarm(target, reason);
    }
  }

  /** Returns the plan, after updating plan and selection for a change of the fleet. */
  private ColdPlan currentPlan() {
    if (version != fleet.version()) {
      version = fleet.version();
      plan = fleet.plan(service);
      boolean before = selected;
      selected = plan.routers() > 0 && fleet.isSelected(key, plan.routers());
      if (selected && !before) {
        // The router that was selected before may just have sent a request.
        nextPermitAt = Math.max(nextPermitAt, fleet.selectedFrom() + plan.intervalMillis());
      }
    }
    return plan;
  }
}
