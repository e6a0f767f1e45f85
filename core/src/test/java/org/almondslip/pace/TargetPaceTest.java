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
    assertThat(started.reportedColdMillis(START)).isZero();
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
  void restartedRouterLearnsFromAnother() {
    TargetPace started = fleet.create(record(2, 0), true, START);
    TargetPace other = fleet("a", Set.of("a"), 10).create(record(2, 0), false, START + 1_000);
    other.onPeerReport("b", started.status(START + 1_000), START + 1_050);
    assertThat(other.isCold(START + 7_000)).isTrue();
    assertThat(other.reportedColdMillis(START + 7_000)).isZero();
  }

  /** Guards against two routers that prolong a cold period by each other's reports. */
  @Test
  void reportsDoNotProlongThePeriod() {
    TargetPace other = fleet("b", Set.of("b"), 10).create(record(1, 0), false, START);
    target.onConnectionFailure(START);
    target.onConnectionFailure(START);
    for (long now = START; now < START + COLD_START_MILLIS; now += 60) {
      other.onPeerReport("a", target.status(now), now + 50);
      target.onPeerReport("b", other.status(now + 50), now + 100);
    }
    assertThat(target.isCold(START + COLD_START_MILLIS)).isFalse();
    assertThat(other.isCold(START + COLD_START_MILLIS + 50)).isFalse();
  }

  /** Guards against a healthy target that stays idle after an interruption of the network. */
  @Test
  void healthCheckOfOneRouterEndsThePeriodAtOthers() {
    target.onConnectionFailure(START);
    target.onConnectionFailure(START);
    TargetPace other = fleet("b", Set.of("a", "b"), 10).create(record(1, 0), false, START);
    other.onPeerReport("a", target.status(START), START + 50);
    other.onHealth(0, START + 3_000, START + 3_010);
    target.onPeerReport("b", other.status(START + 3_060), START + 3_100);
    assertThat(other.isCold(START + 3_010)).isFalse();
    assertThat(target.isCold(START + 3_100)).isFalse();
  }

  /** Guards against numbers in a report that keep a target cold for days. */
  @Test
  void absurdRemainingTimesAreLimited() {
    target.onPeerReport("b", new PaceStatus(Integer.MAX_VALUE, 0, 0), START);
    target.onHealth(999_999_999_999L, START, START);
    assertThat(target.isCold(START + 700_000)).isFalse();
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
