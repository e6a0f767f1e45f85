package org.almondslip.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.Route;
import org.almondslip.directory.RouteKind;
import org.almondslip.directory.RoutingTable;
import org.almondslip.residency.AllowedRegions;

/** Creates routing tables of the service of {@link TestJob}. */
final class TestTables {

  private TestTables() {}

  /**
   * Creates a table.
   *
   * @param ranks the ranks of the organisations that have one
   * @param routes the routes
   * @return the table
   */
  static RoutingTable table(Map<String, Integer> ranks, Route... routes) {
    Map<String, Organisation> byKey = new HashMap<>();
    ranks.forEach(
        (name, rank) -> byKey.put("key-" + name, new Organisation(name, OptionalInt.of(rank))));
    return new RoutingTable(
        1,
        List.of(routes),
        List.of(),
        byKey,
        true,
        new IngressLimits(16_384, 4_096, 3_000, 15_000));
  }

  /**
   * Creates a route of rank 1.
   *
   * @param kind the kind
   * @param objectiveMillis the objective in milliseconds
   * @param pauseMillis the longest pause between events in milliseconds
   * @return the route
   */
  static Route route(RouteKind kind, long objectiveMillis, long pauseMillis) {
    return new Route(
        "r",
        "h",
        "/",
        kind,
        15_000,
        objectiveMillis,
        1,
        List.of(new Route.Share("s", 1)),
        1,
        false,
        AllowedRegions.ANY,
        pauseMillis);
  }
}
