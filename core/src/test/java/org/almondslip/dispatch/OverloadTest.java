package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.directory.Route;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests what the callers of a router get while demand exceeds the capacity of its targets. */
class OverloadTest {

  /** Duration of a load in milliseconds. */
  private static final long DURATION_MILLIS = 14_000;

  /**
   * Guards against a shortage that one kind of request bears alone, whether it is the one with the
   * long prompts or the one with the short ones.
   */
  @Test
  void routesOfEqualRankAreServedTheSameFraction() {
    OverloadLoad load =
        new OverloadLoad(2)
            .add("org", "long", 0, 11_992, 30)
            .add("org", "chat", 0, 826, 90)
            .add("org", "tags", 0, 2_368, 48)
            .add("org", "rare", 0, 500, 1);
    load.run(DURATION_MILLIS);
    double fraction = load.servedFraction("org");
    assertThat(fraction).isBetween(0.3, 0.5);
    for (String route : List.of("long", "chat", "tags")) {
      assertThat(load.servedFraction("org", route))
          .as("served fraction of %s", route)
          .isBetween(fraction - 0.05, fraction + 0.05);
    }
    assertThat(load.servedFraction("org", "rare")).isGreaterThan(fraction - 0.05);
  }

  /** Guards against late requests behind a pending prefill that follows from the objective. */
  @Test
  void requestsAreOnTimeBehindDerivedPendingPrefill() {
    OverloadLoad load =
        new OverloadLoad(2)
            .add("org", "long", 0, 11_992, 30)
            .add("org", "chat", 0, 826, 90)
            .add("org", "tags", 0, 2_368, 48);
    Route route = TestTables.route(RouteKind.STREAMING, OverloadLoad.OBJECTIVE_MILLIS, 800);
    load.dispatcher().onTable(TestTables.table(Map.of(), route));
    load.run(DURATION_MILLIS);
    assertThat(load.dispatcher().engineLimits().of("s").pendingPrefillMillis()).isEqualTo(300);
    assertThat(load.longestDelayMillis()).isLessThanOrEqualTo(OverloadLoad.OBJECTIVE_MILLIS);
    assertThat(load.servedFraction("org")).isGreaterThan(0.37);
  }

  /** Guards against a rank without effect, and against a lower rank that is starved. */
  @Test
  void higherRankGoesFirst() {
    OverloadLoad load =
        new OverloadLoad(1).add("org", "high", 0, 5_000, 12).add("org", "low", 1, 5_000, 80);
    load.run(DURATION_MILLIS);
    assertThat(load.servedFraction("org", "high")).isGreaterThan(0.9);
    assertThat(load.servedFraction("org", "low")).isBetween(0.1, 0.6);
  }

  /** Guards against a lower rank that gets nothing beside a higher rank that takes everything. */
  @Test
  void lowerRankKeepsItsFloor() {
    OverloadLoad load =
        new OverloadLoad(1).add("org", "high", 0, 5_000, 100).add("org", "low", 1, 5_000, 40);
    load.run(DURATION_MILLIS);
    assertThat(load.servedFraction("org", "low")).isBetween(0.07, 0.16);
    assertThat(load.servedFraction("org", "high")).isGreaterThan(0.2);
  }

  /** Guards against an organisation of a higher rank that is held back for lower ranks. */
  @Test
  void organisationOfHigherRankIsNotHeldBack() {
    OverloadLoad load = new OverloadLoad(2).add("high", "r", 0, 5_000, 24);
    Map<String, Integer> ranks = new HashMap<>(Map.of("high", 0));
    for (int i = 0; i < 5; i++) {
      load.add("low-" + i, "r", 2, 5_000, 40);
      ranks.put("low-" + i, 2);
    }
    load.dispatcher().onTable(TestTables.table(ranks));
    load.run(DURATION_MILLIS);
    assertThat(load.servedFraction("high")).isGreaterThan(0.9);
    for (int i = 0; i < 5; i++) {
      assertThat(load.servedFraction("low-" + i)).isBetween(0.2, 0.5);
    }
  }

  /** Guards against organisations of a lower rank that get nothing beside a flood. */
  @Test
  void organisationOfLowerRankKeepsItsFloor() {
    OverloadLoad load =
        new OverloadLoad(2)
            .add("high", "r", 0, 5_000, 300)
            .add("low", "r", 2, 5_000, 40)
            .add("quiet", "r", 2, 5_000, 1);
    load.dispatcher().onTable(TestTables.table(Map.of("high", 0, "low", 2, "quiet", 2)));
    load.run(DURATION_MILLIS);
    assertThat(load.servedFraction("low")).isBetween(0.08, 0.3);
    assertThat(load.servedFraction("quiet")).isGreaterThan(0.5);
    assertThat(load.servedFraction("high")).isGreaterThan(0.1);
  }
}
