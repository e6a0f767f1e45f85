package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.almondslip.directory.Route;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests {@link EngineLimits}. */
class EngineLimitsTest {

  private static final EngineLimits.Limit DEFAULT = new EngineLimits.Limit(150, 0.35);

  /** Guards against limits that change for deployments with an objective and a pause of 500 ms. */
  @Test
  void objectiveAndPauseOf500MillisGiveTheDefaultLimits() {
    assertThat(limit(TestTables.route(RouteKind.STREAMING, 500, 500))).isEqualTo(DEFAULT);
    assertThat(
            limit(
                TestTables.route(RouteKind.STREAMING, 1_000, 500),
                TestTables.route(RouteKind.STREAMING, 500, 500)))
        .isEqualTo(DEFAULT);
  }

  /** Guards against engines that idle although the routes tolerate longer waits. */
  @Test
  void longerObjectiveAndPauseGiveHigherLimits() {
    EngineLimits.Limit limit =
        limit(
            TestTables.route(RouteKind.STREAMING, 1_000, 800),
            TestTables.route(RouteKind.RESUMABLE_STREAMING, 1_200, 800),
            TestTables.route(RouteKind.STREAMING, 2_000, 800));
    assertThat(limit.pendingPrefillMillis()).isEqualTo(300);
    assertThat(limit.slotFraction()).isBetween(0.5599, 0.5601);
  }

  /** Guards against tighter limits than before, under which routes would be refused. */
  @Test
  void shorterObjectiveAndPauseKeepTheDefaultLimits() {
    assertThat(limit(TestTables.route(RouteKind.STREAMING, 171, 100))).isEqualTo(DEFAULT);
  }

  /** Guards against changed limits of a deployment whose configuration does not state the pause. */
  @Test
  void unknownPauseKeepsTheDefaultLimits() {
    assertThat(limit(TestTables.route(RouteKind.STREAMING, 2_000, 0))).isEqualTo(DEFAULT);
    assertThat(
            limit(
                TestTables.route(RouteKind.STREAMING, 2_000, 800),
                TestTables.route(RouteKind.STREAMING, 2_000, 0)))
        .isEqualTo(DEFAULT);
    assertThat(limit(TestTables.route(RouteKind.IDEMPOTENT, 2_000, 800))).isEqualTo(DEFAULT);
  }

  /** Guards against late requests of a short objective behind the prompts of another route. */
  @Test
  void shortestObjectiveOfAllRoutesCounts() {
    EngineLimits.Limit limit =
        limit(
            TestTables.route(RouteKind.STREAMING, 2_000, 800),
            TestTables.route(RouteKind.IDEMPOTENT, 700, 0));
    assertThat(limit.pendingPrefillMillis()).isEqualTo(210);
  }

  /** Guards against limits without bound, which would leave nothing to order at the routers. */
  @Test
  void absurdObjectiveAndPauseGiveBoundedLimits() {
    EngineLimits.Limit limit =
        limit(TestTables.route(RouteKind.STREAMING, Long.MAX_VALUE, 3_600_000));
    assertThat(limit).isEqualTo(new EngineLimits.Limit(600, 1));
  }

  /** Guards against limits of one service that follow from the routes of another. */
  @Test
  void routesOfOtherServicesDoNotCount() {
    EngineLimits limits =
        EngineLimits.of(
            DispatchLimits.DEFAULT, List.of(TestTables.route(RouteKind.STREAMING, 1_000, 800)));
    assertThat(limits.of("other")).isEqualTo(DEFAULT);
  }

  private static EngineLimits.Limit limit(Route... routes) {
    return EngineLimits.of(DispatchLimits.DEFAULT, List.of(routes)).of("s");
  }
}
