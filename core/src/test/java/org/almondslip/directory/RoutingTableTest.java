package org.almondslip.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RoutingTableTest {

  private final RoutingTable table =
      new RoutingTable(
          1,
          List.of(route("short", "/a/"), route("long", "/a/b/")),
          List.of(),
          Map.of(),
          true,
          new IngressLimits(1, 1, 1, 1));

  /** A shorter prefix must not take precedence over a longer one. */
  @Test
  void selectsLongestPrefix() {
    assertThat(table.route("Host.example:80", "/a/b/c")).map(Route::name).contains("long");
    assertThat(table.route("host.example", "/a/bc")).map(Route::name).contains("short");
  }

  /** Hosts and paths without a route must not be served. */
  @Test
  void returnsNoRouteForUnknownHostOrPath() {
    assertThat(table.route("other.example", "/a/")).isEmpty();
    assertThat(table.route("host.example", "/b/")).isEmpty();
  }

  /** A service with weight 0 must not receive requests. */
  @Test
  void distributesRequestsByWeight() {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            RouteKind.IDEMPOTENT,
            1,
            1,
            1,
            List.of(new Route.Share("x", 90), new Route.Share("y", 10), new Route.Share("none", 0)),
            1,
            false);
    assertThat(route.selectService(0)).isEqualTo("x");
    assertThat(route.selectService(0.89)).isEqualTo("x");
    assertThat(route.selectService(0.91)).isEqualTo("y");
    assertThat(route.selectService(0.999)).isEqualTo("y");
  }

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "host.example",
        prefix,
        RouteKind.IDEMPOTENT,
        1_000,
        100,
        1,
        List.of(new Route.Share("s", 1)),
        1,
        false);
  }
}
