package org.almondslip.pace;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.membership.RendezvousOrder;

/**
 * What the pace of all targets depends on: the policies of services, the list of routers and the
 * bound on requests to cold targets.
 */
public final class FleetPace {

  /**
   * Time after the first list of routers during which nothing is sent to cold targets, in
   * milliseconds. Routers of a fleet that starts read lists of different lengths, which agree after
   * two batches of the store.
   */
  static final long SETTLE_MILLIS = 2_000;

  private static final ServicePolicy NO_POLICY = new ServicePolicy("", 0);

  /** Name of this router. */
  private final String router;

  /** Factor on the rate that a cold target tolerates. */
  private final double factor;

  /** Requests in a second beyond that rate. */
  private final double allowance;

  private final PaceListener listener;

  /** Routing table with the policies of services, empty before it is known. */
  private Optional<RoutingTable> table = Optional.empty();

  /** Names of all routers, empty before the list is known. */
  private Set<String> routers = Set.of();

  /** Number of changes of the list and of the policies. */
  private long version = 1;

  /** Time from which on a router that was selected by the latest change counts, in milliseconds. */
  private long selectedFrom;

  /** Services whose targets state the current duration of their work. */
  private final Set<String> workServices = new HashSet<>();

  /** Routers that have reported recently. */
  private final HeardRouters heard = new HeardRouters();

  /** Targets that are paced by a window. */
  private final Set<TargetPace> ramping = new HashSet<>();

  /** Targets that are taken to be cold. */
  private final Set<TargetPace> cold = new HashSet<>();

  /**
   * Creates the pace of a fleet whose routers and services are not known.
   *
   * @param router the name of this router
   * @param factor the factor on the rate that a cold target tolerates
   * @param allowance the requests in a second that a cold target may get beyond that
   * @param listener the listener to notify of changes
   */
  public FleetPace(String router, double factor, double allowance, PaceListener listener) {
    this.router = router;
    this.factor = factor;
    this.allowance = allowance;
    this.listener = listener;
  }

  /**
   * Creates the pace of a fleet that limits nothing.
   *
   * @return the pace
   */
  public static FleetPace unlimited() {
    return new FleetPace("", 1, 0, PaceListener.NoOp.INSTANCE);
  }

  /**
   * Applies a routing table.
   *
   * @param next the table
   */
  public void onTable(RoutingTable next) {
    table = Optional.of(next);
    version++;
  }

  /**
   * Applies the complete list of routers.
   *
   * @param names the names of all routers, including those that have ended
   * @param now the current time in milliseconds
   */
  public void onRouters(Set<String> names, long now) {
    if (names.equals(routers)) {
      return;
    }
    selectedFrom = Math.max(selectedFrom, routers.isEmpty() ? now + SETTLE_MILLIS : now);
    routers = Set.copyOf(names);
    version++;
  }

  /**
   * Creates the pace of a target.
   *
   * @param target the entry of the target
   * @param started whether it has started during traffic
   * @param now the current time in milliseconds
   * @return the pace
   */
  public TargetPace create(TargetRecord target, boolean started, long now) {
    TargetPace pace = new TargetPace(this, target);
    if (started) {
      pace.onStarted(now);
    }
    pace.onEntry(target.coldMillis(), now);
    return pace;
  }

  /**
   * Notifies the listener of targets that are no longer cold, and increases windows without load.
   *
   * @param now the current time in milliseconds
   */
  public void tick(long now) {
    if (!cold.isEmpty()) {
      List.copyOf(cold).forEach(target -> target.tick(now));
    }
    if (!ramping.isEmpty()) {
      List.copyOf(ramping).forEach(target -> target.tickWindow(now));
    }
  }

  /**
   * Records the report of another router.
   *
   * @param name the name of the router
   * @param now the current time in milliseconds
   */
  public void onHeard(String name, long now) {
    if (routers.contains(name) && !name.equals(router)) {
      heard.onReport(name, now);
    }
  }

  /**
   * Returns the number of targets that are paced by a window.
   *
   * @return the number as of the last tick
   */
  public int rampingTargets() {
    return ramping.size();
  }

  /**
   * Returns the number of targets that are taken to be cold.
   *
   * @return the number as of the last tick
   */
  public int coldTargets() {
    return cold.size();
  }

  /** Returns the names of all routers, empty before the list is known. */
  Set<String> routers() {
    return routers;
  }

  long version() {
    return version;
  }

  long selectedFrom() {
    return selectedFrom;
  }

  PaceListener listener() {
    return listener;
  }

  /** Returns the targets that are taken to be cold, to be changed by these targets only. */
  Set<TargetPace> cold() {
    return cold;
  }

  /** Returns the targets that are paced by a window, to be changed by these targets only. */
  Set<TargetPace> ramping() {
    return ramping;
  }

  /** Records that targets of a service state the current duration of their work. */
  void onWorkStated(String service) {
    workServices.add(service);
  }

  /** Returns whether targets of a service that have started or recovered are paced by a window. */
  boolean hasWindows(String service) {
    return policy(service).coldRequestsPerSecond() > 0 || workServices.contains(service);
  }

  /**
   * Returns the number of routers that share what others leave unused.
   *
   * @param now the current time in milliseconds
   * @return the number of this router and those it hears, 0 if it hears less than half of the
   *     others
   */
  int hearing(long now) {
    int others = routers.size() - (routers.contains(router) ? 1 : 0);
    int count = heard.count(now);
    return 2 * count >= others ? count + 1 : 0;
  }

  /** Returns the number of routers that share a window, including this one. */
  int sharing() {
    return routers.size() + (routers.contains(router) ? 0 : 1);
  }

  /** Returns the policy of a service, one without limits if it is unknown. */
  ServicePolicy policy(String service) {
    return table.flatMap(known -> known.service(service)).orElse(NO_POLICY);
  }

  /** Returns the plan for the cold targets of a service. */
  ColdPlan plan(String service) {
    double perSecond = policy(service).coldRequestsPerSecond();
    return ColdPlan.of(perSecond, perSecond * factor + allowance, routers.size());
  }

  /**
   * Returns the routers that may send to a cold target: those with the smallest hashes.
   *
   * @param key the incarnation key of the target
   * @param count the number of routers to select
   * @return the names in the order of their hashes
   */
  List<String> selection(long key, int count) {
    return routers.stream().sorted(order(key)).limit(count).toList();
  }

  /** Returns the number of routers with smaller hashes for a target than this router. */
  int rank(long key) {
    RendezvousOrder order = order(key);
    return (int) routers.stream().filter(name -> order.compare(name, router) < 0).count();
  }

  private static RendezvousOrder order(long key) {
    return new RendezvousOrder("pace/" + Long.toHexString(key));
  }

  /** Returns the name of this router. */
  String router() {
    return router;
  }
}
