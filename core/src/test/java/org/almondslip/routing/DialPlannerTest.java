package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.membership.Member;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Role;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests {@link DialPlanner} with 20 agents in the local region and 20 in another. */
class DialPlannerTest {

  private static final int AGENTS = 20;

  private final List<String> dialled = new ArrayList<>();

  private final DialPlanner planner = planner("r1");

  /**
   * Guards against connecting to the whole fleet, and against preferring agents in other regions.
   */
  @Test
  void dialsSixteenOfOwnRegion() {
    planner.onTick(0);
    planner.onTick(100);
    assertThat(dialled).hasSize(DialPlanner.AGENTS_PER_POOL).allMatch(a -> a.startsWith("north"));
  }

  /** Guards against requests that wait although more agents could be connected. */
  @Test
  void dialsMoreOnDemand() {
    planner.onTick(0);
    planner.dialMore("belt", 10);
    planner.dialMore("belt", 20);
    planner.onTick(100);
    assertThat(dialled).hasSize(DialPlanner.AGENTS_PER_POOL + 2 * DialPlanner.LIMIT_INCREASE);
    assertThat(dialled.subList(20, 24)).allMatch(address -> address.startsWith("south"));
  }

  /** Guards against all routers connecting to the same agents. */
  @Test
  void spreadsRouters() {
    planner.onTick(0);
    List<String> first = List.copyOf(dialled);
    dialled.clear();
    planner("r2").onTick(0);
    assertThat(new HashSet<>(dialled)).isNotEqualTo(new HashSet<>(first));
  }

  /** Guards against frequent connection attempts to an agent that is down. */
  @Test
  void backsOffAfterFailures() {
    planner.onTick(0);
    String address = dialled.get(0);
    long now = 0;
    for (int i = 0; i < 10; i++) {
      planner.onDialFailed(address, now);
      now += 60;
      planner.onTick(now);
    }
    assertThat(dialled.stream().filter(address::equals).count()).isLessThanOrEqualTo(3);
    planner.onTick(now + 6_000);
    assertThat(dialled.subList(16, dialled.size())).contains(address);
  }

  /** Guards against a lost connection that is not reopened. */
  @Test
  void dialsAgainAfterClose() {
    planner.onTick(0);
    String address = dialled.get(0);
    PeerIdentity peer =
        new PeerIdentity("i-" + address, 1, Role.AGENT, "north", "n1", address, "t-" + address);
    planner.onOpen(peer);
    planner.onTick(100);
    planner.onClosed(peer, 100);
    planner.onTick(300);
    assertThat(dialled.stream().filter(address::equals)).hasSize(2);
  }

  /** Guards against a router that waits for its catalog without a peer that could send it. */
  @Test
  void dialsAgentsWithoutCatalog() {
    DialPlanner started =
        new DialPlanner("r9", "north", RandomSource.XO_RO_SHI_RO_128_PP.create(3L), dialled::add);
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < AGENTS; i++) {
      String address = "north" + i;
      members.add(
          new Member("i-" + address, Role.AGENT, "north", "x", address, "t-" + address, false));
    }
    started.onMembers(members);
    started.onTick(0);
    assertThat(dialled).hasSize(DialPlanner.AGENTS_PER_POOL);
  }

  /**
   * Creates a planner with members and catalog.
   *
   * @param instance the router
   * @return the planner
   */
  private DialPlanner planner(String instance) {
    DialPlanner created =
        new DialPlanner(
            instance, "north", RandomSource.XO_RO_SHI_RO_128_PP.create(3L), dialled::add);
    List<Member> members = new ArrayList<>();
    List<VersionedObject> objects = new ArrayList<>();
    for (String region : List.of("north", "south")) {
      for (int i = 0; i < AGENTS; i++) {
        String address = region + i;
        members.add(
            new Member("i-" + address, Role.AGENT, region, "x", address, "t-" + address, false));
        Target target = new Target("t-" + address, "belt", Target.Type.MODEL, 1, null, null, null);
        objects.add(new VersionedObject(target, 1, 1));
      }
    }
    created.onCatalog(Catalog.EMPTY.merge(objects, 1));
    created.onMembers(members);
    return created;
  }
}
