package org.almondslip.pace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.junit.jupiter.api.Test;

/** Tests {@link TargetPace}. */
class TargetPaceTest {

  /** Time at which the target starts, after the list of routers has settled, in milliseconds. */
  private static final long START = 10_000;

  private static final long COLD_START_MILLIS = 8_000;

  private static final Set<String> NAMES = Set.of("r0", "r1", "r2", "r3", "r4", "r5");

  private final FleetPace fleet = fleet("a", Set.of("a"), 10);

  private final TargetPace target = fleet.create(record(1, 0), false, START);

  /** Guards against the full load of all routers on a target that has just started. */
  @Test
  void startedTargetIsColdForTheConfiguredTime() {
    TargetPace started = fleet.create(record(2, 0), true, START);
    assertThat(started.isCold(START + COLD_START_MILLIS - 1)).isTrue();
    assertThat(started.isCold(START + COLD_START_MILLIS)).isFalse();
  }

  /** Guards against slowing down the targets of a router that has just started. */
  @Test
  void targetOfTheFirstSnapshotIsWarmUnlessItsEntrySaysOtherwise() {
    assertThat(target.waitMillis(START)).isZero();
    assertThat(fleet.create(record(2, 3_000), false, START).isCold(START + 2_999)).isTrue();
    assertThat(fleet.create(record(2, 3_000), false, START).isCold(START + 3_000)).isFalse();
  }

  /** Guards against limits for services that are not configured to need a warm-up. */
  @Test
  void servicesWithoutWarmUpAreNotLimited() {
    TargetPace started = fleet("a", Set.of("a"), 0).create(record(2, 3_000), true, START);
    started.onConnectionFailure(START);
    started.onConnectionFailure(START);
    assertThat(started.waitMillis(START)).isZero();
    assertThat(started.status(START)).isEqualTo(PaceStatus.NONE);
  }

  /** Guards against sending at full rate before the list of routers is known. */
  @Test
  void nothingIsSentBeforeTheListOfRoutersHasSettled() {
    FleetPace unlisted = fleet("a", Set.of(), 10);
    TargetPace cold = unlisted.create(record(2, 0), true, START);
    assertThat(cold.waitMillis(START + 5_000)).isEqualTo(3_000);
    unlisted.onRouters(Set.of("a"), START + 5_000);
    assertThat(cold.waitMillis(START + 5_000)).isGreaterThan(FleetPace.SETTLE_MILLIS);
  }

  /** Guards against taking a single lost connection for a restart, or many for none. */
  @Test
  void consecutiveConnectionFailuresMakeTheTargetCold() {
    target.onConnectionFailure(START);
    target.onSuccess();
    target.onConnectionFailure(START);
    assertThat(target.isCold(START)).isFalse();
    target.onConnectionFailure(START);
    assertThat(target.isCold(START)).isTrue();
    target.onHealth(0, START + 100, START + 120);
    assertThat(target.isCold(START + 120)).isFalse();
  }

  /** Guards against a health check from before a failure that ends the cold period after it. */
  @Test
  void healthCheckSentBeforeTheFailureDoesNotCount() {
    target.onConnectionFailure(START);
    target.onConnectionFailure(START);
    target.onHealth(0, START - 50, START + 10);
    assertThat(target.isCold(START + 10)).isTrue();
  }

  /**
   * Guards against load on the targets of a data centre that became cold while it was evacuated.
   */
  @Test
  void targetIsColdAfterAnEvacuationUntilItsEntrySaysOtherwise() {
    target.onEvacuationEnded(START);
    assertThat(target.isCold(START + COLD_START_MILLIS - 1)).isTrue();
    target.onEntry(0, START + 500);
    assertThat(target.isCold(START + 500)).isFalse();
  }

  /** Guards against a second permit for a request that has one, and against none at all. */
  @Test
  void requestIsHeldBackIfItsTargetBecameColdMeanwhile() {
    final ColdPermit warm = target.permit(START);
    target.onEntry(3_000, START);
    assertThat(target.allows(warm, START + 1)).isFalse();
    long sentAt = START + target.waitMillis(START);
    target.takePermit(sentAt);
    ColdPermit permit = target.permit(sentAt);
    assertThat(target.waitMillis(sentAt)).isPositive();
    assertThat(target.allows(permit, sentAt + 10)).isTrue();
    assertThat(target.allows(permit, sentAt + ColdPermit.VALID_MILLIS + 1)).isFalse();
    assertThat(target.allows(warm, START + 3_000)).isTrue();
  }

  /** Guards against a router that restarts and does not learn that a target is cold. */
  @Test
  void restartedRouterLearnsFromSelectedOne() {
    TargetPace started = ranked(0).create(record(1, 0), true, START);
    TargetPace restarted = ranked(5).create(record(1, 0), false, START + 1_000);
    restarted.onPeerReport(name(0), started.status(START + 1_000), START + 1_050);
    assertThat(restarted.isCold(START + 7_000)).isTrue();
    assertThat(restarted.status(START + 7_000)).isEqualTo(PaceStatus.NONE);
  }

  /** Guards against two routers that prolong a cold period by each other's reports. */
  @Test
  void reportsDoNotProlongThePeriod() {
    TargetPace first = ranked(0).create(record(1, 0), true, START);
    TargetPace second = ranked(1).create(record(1, 0), true, START);
    for (long now = START; now < START + COLD_START_MILLIS; now += 60) {
      second.onPeerReport(name(0), first.status(now), now + 50);
      first.onPeerReport(name(1), second.status(now + 50), now + 100);
    }
    long end = START + COLD_START_MILLIS + PaceStatus.MAX_WARM_MILLIS + 200;
    assertThat(first.isCold(end)).isFalse();
    assertThat(second.isCold(end)).isFalse();
  }

  /** Guards against a router whose own links are broken and that slows down the whole fleet. */
  @Test
  void connectionFailuresOfOneRouterOnlyMakeOthersCheck() {
    TargetPace failing = failed(ranked(5).create(record(1, 0), false, START));
    TargetPace checking = ranked(0).create(record(1, 0), false, START);
    TargetPace other = ranked(4).create(record(1, 0), false, START);
    PaceStatus suspicion = failing.status(START + 60);
    checking.onPeerReport(name(5), suspicion, START + 100);
    other.onPeerReport(name(5), suspicion, START + 100);
    assertThat(failing.isCold(START + 100)).isTrue();
    assertThat(checking.isCold(START + 100)).isFalse();
    assertThat(checking.startProbe(START + 100)).isTrue();
    assertThat(other.isCold(START + 100)).isFalse();
    assertThat(other.startProbe(START + 100)).isFalse();
  }

  /** Guards against a healthy target that stays idle after an interruption of the network. */
  @Test
  void healthCheckOfSelectedRouterEndsThePeriodAtOthers() {
    TargetPace failing = failed(ranked(5).create(record(1, 0), false, START));
    TargetPace checking = ranked(0).create(record(1, 0), false, START);
    checking.onPeerReport(name(5), failing.status(START + 60), START + 100);
    checking.onHealth(0, START + 100, START + 150);
    failing.onPeerReport(name(0), checking.status(START + 200), START + 260);
    assertThat(failing.isCold(START + 260)).isFalse();
    assertThat(failing.hasRoom(8, 0, 64, START + 260)).isFalse();
  }

  /** Guards against a target that has restarted and is known to be cold by one router only. */
  @Test
  void healthCheckThatFindsTheTargetColdCountsForAllRouters() {
    TargetPace checking = ranked(0).create(record(1, 0), false, START);
    TargetPace other = ranked(5).create(record(1, 0), false, START);
    checking.onHealth(5_000, START, START + 50);
    other.onPeerReport(name(0), checking.status(START + 60), START + 100);
    assertThat(other.isCold(START + 100)).isTrue();
    assertThat(other.waitMillis(START + 100)).isGreaterThan(4_000);
  }

  /** Guards against four health checks a second that are sent at the same moment. */
  @Test
  void healthChecksOfTheSelectedRoutersAreSpread() {
    for (int rank = 0; rank < ColdPlan.MAX_ROUTERS; rank++) {
      TargetPace cold = ranked(rank).create(record(1, 0), true, START);
      assertThat(cold.startProbe(START + rank * 250L - 1)).isFalse();
      assertThat(cold.startProbe(START + rank * 250L)).isTrue();
      assertThat(cold.startProbe(START + rank * 250L + 999)).isFalse();
      assertThat(cold.startProbe(START + rank * 250L + 1_000)).isTrue();
    }
  }

  /** Guards against a window of a router with broken links that slows down the whole fleet. */
  @Test
  void windowOfOneRouterIsNotAdoptedWhileTheTargetResponds() {
    target.onResponse(100, 100, START);
    target.onPeerReport("b", new PaceStatus(0, 2, 1), START + 500);
    assertThat(target.hasRoom(5, 0, 64, START + 500)).isTrue();
    target.onPeerReport("b", new PaceStatus(0, 2, 1), START + 1_500);
    assertThat(target.hasRoom(5, 0, 64, START + 1_500)).isFalse();
  }

  /** Guards against numbers in a report that keep a target cold for days. */
  @Test
  void absurdRemainingTimesAreLimited() {
    target.onPeerReport("a", new PaceStatus(Integer.MAX_VALUE, 0, 0), START);
    target.onHealth(999_999_999_999L, START, START);
    assertThat(target.isCold(START + 700_000)).isFalse();
  }

  /** Returns the name of a router by its rank for the target in a fleet of six. */
  private static String name(int rank) {
    return fleet("r0", NAMES, 10).selection(record(1, 0).incarnationKey(), NAMES.size()).get(rank);
  }

  /** Returns the pace of a router by its rank; the first four are selected. */
  private static FleetPace ranked(int rank) {
    return fleet(name(rank), NAMES, 10);
  }

  /** Makes a target lose consecutive connections. */
  private static TargetPace failed(TargetPace target) {
    target.onConnectionFailure(START);
    target.onConnectionFailure(START);
    return target;
  }

  /**
   * Creates the pace of a fleet of a service whose cold targets tolerate a rate.
   *
   * @param router the name of this router
   * @param routers the names of all routers
   * @param perSecond the requests per second
   */
  static FleetPace fleet(String router, Set<String> routers, double perSecond) {
    FleetPace pace = new FleetPace(router, 1.5, 5, PaceListener.NoOp.INSTANCE);
    pace.onTable(
        new RoutingTable(
            1,
            List.of(),
            List.of(new ServicePolicy("s", 0, COLD_START_MILLIS, perSecond, "/health")),
            Map.of(),
            false,
            new IngressLimits(8_192, 65_536, 3_000, 15_000)));
    pace.onRouters(routers, START - FleetPace.SETTLE_MILLIS);
    return pace;
  }

  /** Creates the entry of a target. */
  static TargetRecord record(long startMillis, long coldMillis) {
    return new TargetRecord(
        "t",
        "s",
        "127.0.0.1",
        80,
        "dc",
        "",
        64,
        TargetRecord.State.READY,
        startMillis,
        coldMillis,
        1);
  }
}
