package org.almondslip.faults;

import java.util.ArrayList;
import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;

/** Two routers, six agents with their targets, and the connections between them. */
final class FaultFleet {

  /** Pool of the model engines, which are the first agents. */
  static final String MODELS = "belt";

  /** Pool of the plain services, which are the other agents. */
  static final String DESKS = "desk";

  private static final int ROUTERS = 2;
  private static final int ENGINES = 3;
  private static final int AGENTS = 6;
  private static final int SLOTS = 2;
  private static final long TICK_MILLIS = 10;
  private static final long HEARTBEAT_MILLIS = 1_000;
  private static final long DIAL_MILLIS = 200;

  /** Time for late frames and second runs to show up after the last request has ended. */
  private static final long AFTER_SETTLING_MILLIS = 15_000;

  private final Timeline timeline = new Timeline();
  private final Network network = new Network();
  private final History history = new History();
  private final FakeTableStore store = new FakeTableStore(timeline);
  private final List<RouterNode> routers = new ArrayList<>();
  private final List<AgentNode> agents = new ArrayList<>();
  private final List<FakeTarget> targets = new ArrayList<>();
  private final List<Link> links = new ArrayList<>();
  private final FleetClaims claims = new FleetClaims(timeline, store);
  private Catalog catalog = catalog(CatalogObject.Target.State.ACTIVE, 1);
  private long nextIncarnation = 1;
  private long nextSubmission = 1;

  FaultFleet() {
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(new RouterNode("router-" + i, nextIncarnation++, timeline, history, catalog));
    }
    for (int i = 0; i < AGENTS; i++) {
      targets.add(new FakeTarget(timeline, history));
      agents.add(newAgent(i));
    }
    timeline.every(TICK_MILLIS, this::tick);
    timeline.every(HEARTBEAT_MILLIS, this::heartbeat);
    timeline.every(DIAL_MILLIS, this::dial);
    advance(DIAL_MILLIS + HEARTBEAT_MILLIS);
  }

  Timeline timeline() {
    return timeline;
  }

  Network network() {
    return network;
  }

  History history() {
    return history;
  }

  FakeTableStore store() {
    return store;
  }

  RouterNode router(int index) {
    return routers.get(index);
  }

  AgentNode agent(int index) {
    return agents.get(index);
  }

  int agents() {
    return AGENTS;
  }

  FakeTarget target(int index) {
    return targets.get(index);
  }

  void advance(long millis) {
    timeline.runUntil(timeline.now() + millis);
  }

  long submit(int router, String organisation, Workload.Kind kind, String body) {
    long number = nextSubmission++;
    routers.get(router).submit(number, organisation, kind, body);
    return number;
  }

  void killAgent(int index) {
    AgentNode agent = agents.get(index);
    agent.kill();
    targets.get(index).dropCallsOf(agent);
    links.forEach(link -> link.onNodeKilled(agent));
  }

  void restartAgent(int index) {
    if (!agents.get(index).alive()) {
      agents.set(index, newAgent(index));
    }
  }

  void killRouter(int index) {
    routers.get(index).kill();
    links.forEach(link -> link.onNodeKilled(routers.get(index)));
  }

  void restartRouter(int index) {
    if (!routers.get(index).alive()) {
      RouterNode next =
          new RouterNode("router-" + index, nextIncarnation++, timeline, history, catalog);
      routers.set(index, next);
    }
  }

  void silenceLinks(int agent) {
    links.stream()
        .filter(link -> link.ends().get(1).node() == agents.get(agent))
        .forEach(Link::silence);
  }

  void markLeaving(int target) {
    CatalogObject leaving = targetObject(target, CatalogObject.Target.State.LEAVING);
    catalog = catalog.merge(List.of(new VersionedObject(leaving, 2, 2)), 2);
    routers.forEach(router -> router.run(() -> router.logic().onCatalog(catalog)));
    agents.forEach(agent -> agent.run(() -> agent.logic().onCatalog(catalog)));
  }

  /** Ends every fault and gives the fleet time to settle all requests. */
  void healAndSettle(long millis) {
    network.heal();
    network.setDelayMillis(1);
    store.setMode(FakeTableStore.Mode.UP);
    links.forEach(Link::flushHeld);
    routers.forEach(Node::resume);
    agents.forEach(Node::resume);
    for (int i = 0; i < AGENTS; i++) {
      restartAgent(i);
    }
    long limit = timeline.now() + millis;
    while (timeline.now() < limit && !history.settled()) {
      advance(HEARTBEAT_MILLIS);
    }
    advance(AFTER_SETTLING_MILLIS);
  }

  private AgentNode newAgent(int index) {
    String name = "agent-" + index;
    return new AgentNode(name, nextIncarnation++, targets.get(index), timeline, claims, catalog);
  }

  private void tick() {
    routers.forEach(router -> router.run(router::onTick));
    agents.forEach(agent -> agent.run(agent::onTick));
    links.forEach(Link::checkSilence);
    links.removeIf(link -> link.ends().stream().noneMatch(Link.End::isOpen));
  }

  private void heartbeat() {
    for (Link link : List.copyOf(links)) {
      for (Link.End end : link.ends()) {
        if (end.node().responsive()) {
          Heartbeat heartbeat = end.node().heartbeat();
          end.send(Frame.newBuilder().setHeartbeat(heartbeat).build());
        }
      }
    }
  }

  private void dial() {
    for (RouterNode router : routers) {
      for (AgentNode agent : agents) {
        boolean reachable = !network.cut(router, agent) && !network.cut(agent, router);
        boolean up = router.responsive() && agent.responsive();
        if (reachable && up && links.stream().noneMatch(link -> joinsOpenly(link, router, agent))) {
          Link link =
              new Link(timeline, network, router, router.identity(), agent, agent.identity());
          links.add(link);
          link.open();
        }
      }
    }
  }

  private static boolean joinsOpenly(Link link, RouterNode router, AgentNode agent) {
    return link.joins(router, agent) && link.ends().get(0).isOpen();
  }

  private static Catalog catalog(CatalogObject.Target.State state, long number) {
    List<VersionedObject> objects = new ArrayList<>();
    for (int i = 0; i < AGENTS; i++) {
      objects.add(new VersionedObject(targetObject(i, state), number, number));
    }
    for (String organisation : List.of("hanbit", "crockera")) {
      CatalogObject object = new CatalogObject.Organisation(organisation, List.of(MODELS, DESKS));
      objects.add(new VersionedObject(object, number, number));
    }
    return Catalog.EMPTY.merge(objects, number);
  }

  private static CatalogObject targetObject(int index, CatalogObject.Target.State state) {
    boolean engine = index < ENGINES;
    CatalogObject.Target.Type type =
        engine ? CatalogObject.Target.Type.MODEL : CatalogObject.Target.Type.SERVICE;
    String pool = engine ? MODELS : DESKS;
    return new CatalogObject.Target("agent-" + index, pool, type, SLOTS, null, state, null);
  }
}
