package org.almondslip.bench.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.almondslip.accounting.AccountLedger;
import org.almondslip.accounting.FlowDirectory;
import org.almondslip.accounting.PortionRule;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Offers;
import org.almondslip.protocol.wire.Role;
import org.almondslip.scheduling.Policy;
import org.almondslip.scheduling.PolicyOfferScheduler;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Costs of offers that wait: at the router for each tick, at the agent for each choice. */
final class OfferSlopes {

  /** Flows backlogged. */
  private static final int[] FLOWS = {1, 25, 49, 73, 97};

  /** Connections to agents, or to routers. */
  private static final int[] CONNECTIONS = {10, 40, 80, 120};

  /** Flows of one pool that are backlogged at the planned scale: 97 over 11 pools. */
  static final int FLOWS_OF_POOL = 9;

  /** Ticks of a router in a second. */
  private static final int TICKS = 100;

  /** Interval of a router's ticks, in milliseconds. */
  private static final long TICK_MILLIS = 10;

  /** Seconds of each round of a router; offers are refreshed every 5 s. */
  private static final int SECONDS = 5;

  /** Choices or frames in each round of an agent. */
  private static final int CHOICES = 500;

  /** Requests waiting in each offer, so many that none runs out within a round. */
  private static final int WAITING = 1_000_000;

  /** Not instantiable. */
  private OfferSlopes() {}

  /**
   * Measures.
   *
   * @return the costs
   */
  static List<Series> measure() {
    List<Series> series = new ArrayList<>();
    series.addAll(
        Sweep.TIMED.run(
            "waiting_by_flow",
            "flows backlogged, 16 connections",
            FLOWS,
            flows -> waiting(flows, RequestRig.AGENTS)));
    series.addAll(
        Sweep.TIMED.run(
            "waiting_by_connection",
            "connections to agents of one pool, 9 flows backlogged",
            new int[] {4, 8, 16, 32},
            connections -> waiting(FLOWS_OF_POOL, connections)));
    series.addAll(
        Sweep.TIMED.run(
            "choice_by_flow", "flows backlogged, 10 routers", FLOWS, flows -> choose(flows, 10)));
    series.addAll(
        Sweep.TIMED.run(
            "choice_by_router",
            "routers that offer 9 flows each",
            CONNECTIONS,
            routers -> choose(FLOWS_OF_POOL, routers)));
    series.addAll(
        Sweep.TIMED.run(
            "agent_frame_by_router",
            "routers that offer 9 flows each, no slot free",
            CONNECTIONS,
            OfferSlopes::frames));
    series.addAll(
        Sweep.TIMED.run(
            "heartbeat", "connections", new int[] {4, 8, 16, 32, 64}, OfferSlopes::heartbeats));
    return series;
  }

  /**
   * Measures the ticks of a router whose requests wait; each flow gets a request each second.
   *
   * @param flows the flows backlogged
   * @param connections the connections to agents
   * @return the costs of a second
   */
  private static Map<String, Double> waiting(int flows, int connections) {
    ScaleCatalog scale = new ScaleCatalog(flows, 1, connections, 1);
    Clock.Manual clock = new Clock.Manual(1_000_000);
    RouterEnd router = connected(scale, clock, connections);
    second(router, scale, flows, clock, new ProcessorTime());
    router.sent.takeControl();
    ProcessorTime time = new ProcessorTime();
    for (int i = 0; i < SECONDS; i++) {
      second(router, scale, flows, clock, time);
    }
    return Map.of(
        "router_us_per_second", time.takeMicros() / SECONDS,
        "router_sent_control_bytes_per_second", router.sent.takeControl() / SECONDS);
  }

  /**
   * Lets a second pass at a router.
   *
   * @param router the router
   * @param scale the catalog
   * @param flows the flows that get a request
   * @param clock the clock to move
   * @param time the meter of the ticks
   */
  private static void second(
      RouterEnd router, ScaleCatalog scale, int flows, Clock.Manual clock, ProcessorTime time) {
    IntStream.range(0, flows).forEach(i -> router.submit(scale.flow(i), false));
    for (int i = 0; i < TICKS; i++) {
      clock.advance(TICK_MILLIS);
      time.time(router::tick);
    }
  }

  /**
   * Creates a router with connections to agents that never grant.
   *
   * @param scale the catalog
   * @param clock the source of time
   * @param connections the connections
   * @return the router
   */
  static RouterEnd connected(ScaleCatalog scale, Clock clock, int connections) {
    RouterEnd router = new RouterEnd(clock, scale.toCatalog());
    for (int i = 0; i < connections; i++) {
      PeerIdentity agent =
          new PeerIdentity(
              "agent-" + i, 1, Role.AGENT, "north", "dc-0", "127.0.0.1:" + i, scale.target(i));
      router.open(new Port(i, agent, router.sent, new DroppingQueue()));
    }
    return router;
  }

  /**
   * Measures the choice of an agent.
   *
   * @param flows the flows backlogged
   * @param routers the routers that offer each flow
   * @return the cost of a choice
   */
  private static Map<String, Double> choose(int flows, int routers) {
    PolicyOfferScheduler book = book(flows, routers);
    ProcessorTime time = new ProcessorTime();
    time.time(
        () ->
            IntStream.range(0, CHOICES)
                .forEach(i -> book.selectNext(offer -> true, i).orElseThrow()));
    return Map.of("agent_us", time.takeMicros() / CHOICES);
  }

  /**
   * Builds a book of offers.
   *
   * @param flows the flows
   * @param routers the routers that offer each flow
   * @return the book
   */
  static PolicyOfferScheduler book(int flows, int routers) {
    ScaleCatalog scale = new ScaleCatalog(flows, 1, 1, 1);
    Catalog catalog = scale.toCatalog();
    AccountLedger ledger =
        new AccountLedger(
            PortionRule.MEASURED,
            scale.target(0),
            FlowDirectory.of(() -> catalog),
            AgentEnd.LARGEST_COST_MILLIS,
            RandomSource.SPLIT_MIX_64.create(1L));
    PolicyOfferScheduler book = new PolicyOfferScheduler(Policy.FAIR, ledger, 0);
    for (int flow = 0; flow < flows; flow++) {
      for (int router = 0; router < routers; router++) {
        book.offer(router, scale.flow(flow), offer(scale, flow), 0);
      }
    }
    return book;
  }

  /**
   * Builds an offer.
   *
   * @param scale the catalog
   * @param flow the number of the flow
   * @return the offer
   */
  private static FlowOffer offer(ScaleCatalog scale, int flow) {
    return FlowOffer.newBuilder()
        .setFlowId(scale.flow(flow).id())
        .setWaiting(WAITING)
        .setHeadAgeMs(100)
        .setEstimateMs(2_000)
        .build();
  }

  /**
   * Measures what an agent without a free slot does for each frame that leads to a decision.
   *
   * @param routers the routers that offer each flow
   * @return the cost of a frame
   */
  private static Map<String, Double> frames(int routers) {
    ScaleCatalog scale = new ScaleCatalog(FLOWS_OF_POOL, 1, 1, 1);
    AgentEnd agent =
        new AgentEnd(0, scale.target(0), new Clock.Manual(1_000_000), scale.toCatalog());
    for (int router = 0; router < routers; router++) {
      agent.open(new Port(router, RouterEnd.IDENTITY, agent.sent, new ArrayDeque<>()));
      for (int flow = 0; flow < FLOWS_OF_POOL; flow++) {
        agent.onFrame(router, frame(offer(scale, flow)));
      }
    }
    byte[] refresh = frame(offer(scale, 0)).toByteArray();
    IntStream.range(0, CHOICES).forEach(i -> agent.inbox.add(new Port.Delivery(0, refresh)));
    ProcessorTime time = new ProcessorTime();
    time.time(agent::receive);
    return Map.of("agent_us", time.takeMicros() / CHOICES);
  }

  /**
   * Wraps an offer.
   *
   * @param offer the offer
   * @return the frame
   */
  private static Frame frame(FlowOffer offer) {
    return Frame.newBuilder().setOffers(Offers.newBuilder().addOffers(offer)).build();
  }

  /**
   * Measures a second of heartbeats of a router: one sent and one received on each connection.
   *
   * @param connections the connections
   * @return the costs of a second
   */
  private static Map<String, Double> heartbeats(int connections) {
    ScaleCatalog scale = new ScaleCatalog(1, 1, connections, 1);
    RouterEnd router = connected(scale, new Clock.Manual(1_000_000), connections);
    FrameTally both = new FrameTally();
    ProcessorTime time = new ProcessorTime();
    for (int i = 0; i < TICKS; i++) {
      for (int at = 0; at < connections; at++) {
        new Port(at, RouterEnd.IDENTITY, both, router.inbox).send(RouterEnd.heartbeat(90_000 + i));
      }
      time.time(router::receive);
      long sequence = 90_000 + i;
      time.time(
          () -> {
            for (int at = 0; at < connections; at++) {
              Port port = new Port(at, RouterEnd.IDENTITY, both, new DroppingQueue());
              port.send(RouterEnd.ownHeartbeat(sequence));
            }
          });
    }
    return Map.of(
        "router_us_per_second", time.takeMicros() / TICKS,
        "control_bytes_per_second", both.takeControl() / TICKS);
  }
}
