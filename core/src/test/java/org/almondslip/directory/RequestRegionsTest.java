package org.almondslip.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.almondslip.residency.AllowedRegions;
import org.junit.jupiter.api.Test;

/** Tests of {@link RequestRegions}. */
class RequestRegionsTest {

  private static final AllowedRegions NORTH = AllowedRegions.of(List.of("north"));

  private static final AllowedRegions SOUTH = AllowedRegions.of(List.of("south"));

  private static final AllowedRegions BOTH = AllowedRegions.of(List.of("north", "south"));

  private Optional<RoutingTable> table = Optional.empty();

  private Optional<RoutingTable> arrivalTable = Optional.empty();

  /** Guards against a request that leaves the region of its route or of its organisation. */
  @Test
  void routeAndOrganisationBothBind() {
    RequestRegions regions = regions(route("r", BOTH), organisation("o", SOUTH));
    assertThat(regions.permits(target("south"))).isTrue();
    assertThat(regions.permits(target("north"))).isFalse();
    assertThat(regions.permits(target("west"))).isFalse();
    assertThat(regions(route("r", NORTH), organisation("o", SOUTH)).permits(target("south")))
        .isFalse();
  }

  /** Guards against a target in an unknown data centre that gets a restricted request. */
  @Test
  void unknownRegionIsAllowedOnlyWithoutRestriction() {
    assertThat(regions(route("r", BOTH), Optional.empty()).permits(target(""))).isFalse();
    assertThat(regions(route("r", AllowedRegions.ANY), Optional.empty()).permits(target("")))
        .isTrue();
  }

  /** Guards against a waiting request that is sent by rules that were narrowed meanwhile. */
  @Test
  void currentRulesBindRequestsThatArrivedBefore() {
    Route unrestricted = route("r", AllowedRegions.ANY);
    RequestRegions regions = regions(unrestricted, organisation("o", AllowedRegions.ANY));
    setTable(1, unrestricted, "key", organisation("o", AllowedRegions.ANY));
    assertThat(regions.allowed().isRestricted()).isFalse();
    setTable(2, route("r", NORTH), "key", organisation("o", AllowedRegions.ANY));
    assertThat(regions.allowed()).isEqualTo(NORTH);
    setTable(3, unrestricted, "key", organisation("o", SOUTH));
    assertThat(regions.allowed()).isEqualTo(SOUTH);
  }

  /** Guards against a waiting request that is sent by rules that were widened meanwhile. */
  @Test
  void rulesAtArrivalBindAfterTheyWereWidened() {
    RequestRegions regions = regions(route("r", NORTH), Optional.empty());
    setTable(2, route("r", AllowedRegions.ANY), "key", Optional.empty());
    assertThat(regions.allowed()).isEqualTo(NORTH);
    setTable(3, route("other", AllowedRegions.ANY), "key", Optional.empty());
    assertThat(regions.allowed()).isEqualTo(NORTH);
  }

  /** Guards against a rule that a request escapes since it ends while the body arrives. */
  @Test
  void rulesAtArrivalOfHeadersBind() {
    Route restricted = route("r", BOTH);
    arrivalTable = Optional.of(table(1, List.of(restricted), Map.of("key", known("o", SOUTH))));
    setTable(2, route("r", AllowedRegions.ANY), "key", organisation("o", AllowedRegions.ANY));
    assertThat(
            regions(route("r", AllowedRegions.ANY), organisation("o", AllowedRegions.ANY))
                .allowed())
        .isEqualTo(SOUTH);
  }

  /** Guards against a restriction to an unknown region that nobody notices. */
  @Test
  void namesUnknownRegions() {
    RoutingTable misspelt =
        table(1, List.of(route("r", BOTH)), Map.of("key", known("o", AllowedRegions.ANY)));
    assertThat(misspelt.unknownRegions(Set.of("north", "south"))).isEmpty();
    assertThat(misspelt.unknownRegions(Set.of("north")))
        .isEqualTo(Map.of("route r", Set.of("south")));
  }

  /** Guards against a restriction that a request escapes since its route is renamed with it. */
  @Test
  void findsRenamedRouteByItsLocation() {
    RequestRegions regions = regions(route("r", AllowedRegions.ANY), Optional.empty());
    setTable(2, route("renamed", NORTH), "key", Optional.empty());
    assertThat(regions.allowed()).isEqualTo(NORTH);
  }

  /** Guards against a restriction that a request escapes since its organisation is renamed. */
  @Test
  void findsRenamedOrganisationByItsKey() {
    Route route = route("r", AllowedRegions.ANY);
    RequestRegions regions = regions(route, organisation("o", AllowedRegions.ANY));
    setTable(2, route, "key", organisation("renamed", SOUTH));
    assertThat(regions.allowed()).isEqualTo(SOUTH);
    setTable(3, route, "new key", organisation("o", SOUTH));
    assertThat(regions.allowed()).isEqualTo(SOUTH);
  }

  /** Guards against one of two routes of one name whose restriction is lost. */
  @Test
  void routesOfOneNameAllBind() {
    Route route = route("r", BOTH);
    Route other =
        new Route("r", "h", "/b/", RouteKind.IDEMPOTENT, 1, 1, 1, route.shares(), 1, false, SOUTH);
    table = Optional.of(table(2, List.of(route, other), Map.of()));
    assertThat(regions(route, Optional.empty()).allowed()).isEqualTo(SOUTH);
  }

  private RequestRegions regions(Route route, Optional<Organisation> organisation) {
    return new RequestRegions(() -> table, arrivalTable, route, organisation, Optional.of("key"));
  }

  private void setTable(
      long version, Route route, String key, Optional<Organisation> organisation) {
    Map<String, Organisation> byKey = new HashMap<>();
    organisation.ifPresent(known -> byKey.put(key, known));
    table = Optional.of(table(version, List.of(route), byKey));
  }

  private static RoutingTable table(
      long version, List<Route> routes, Map<String, Organisation> byKey) {
    return new RoutingTable(
        version, routes, List.of(), byKey, false, new IngressLimits(1, 1, 1, 1));
  }

  private static Route route(String name, AllowedRegions regions) {
    return new Route(
        name,
        "h",
        "/a/",
        RouteKind.IDEMPOTENT,
        1_000,
        1_000,
        1,
        List.of(new Route.Share("s", 1)),
        1,
        false,
        regions);
  }

  private static Optional<Organisation> organisation(String name, AllowedRegions regions) {
    return Optional.of(known(name, regions));
  }

  private static Organisation known(String name, AllowedRegions regions) {
    return new Organisation(name, OptionalInt.empty(), regions);
  }

  private static TargetRecord target(String region) {
    return new TargetRecord(
        "t", "s", "127.0.0.1", 80, "dc", region, 4, TargetRecord.State.READY, 0, 0, 1);
  }
}
