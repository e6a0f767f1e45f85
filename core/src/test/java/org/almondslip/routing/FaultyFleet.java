package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Router with fake agents behind connections that fail in random ways. */
final class FaultyFleet {

  /** Targets of the fleet. */
  private static final List<String> TARGETS = List.of("m1", "m2", "m3", "s1", "s2");

  /** Largest number of waiting requests. */
  static final int QUEUE_LIMIT = 12;

  /** Time limit of requests, in milliseconds. */
  private static final long TIMEOUT = 20_000;

  final Clock.Manual clock = new Clock.Manual(5_000);

  /** What callers received. */
  final RecordingEffects effects = new RecordingEffects();

  /** How often each body was run by a target. */
  final Map<String, Integer> runs = new HashMap<>();

  /** Callers that have disconnected. */
  final Set<Long> disconnectedCallers = new HashSet<>();

  /** Bodies of the requests by caller. */
  final Map<Long, String> bodies = new HashMap<>();

  /** Callers of orders, which are not idempotent. */
  final Set<Long> orders = new HashSet<>();

  final RouterLogic router =
      new RouterLogic(
          9,
          "north",
          RoutingSettings.DEFAULT.withQueues(5, 10, QUEUE_LIMIT),
          new SuspectRegistry(),
          clock,
          RandomSource.XO_RO_SHI_RO_128_PP.create(7L),
          effects);

  /** Agents, in the order of the targets. */
  private final List<Node> nodes = new ArrayList<>();

  /** Source of faults. */
  private final Random random;

  /** Factory of the agents. */
  private final AgentFactory agentFactory;

  private long connection = 1;

  private long caller;

  /** One agent with its connection. */
  private static final class Node {
    private final String target;

    private SimulatedAgent agent;

    /** Incarnation of the agent. */
    private long incarnation = 1;

    /** Connection, null while there is none. */
    private RecordingPeer link;

    /** Undelivered frames for the router. */
    private final Deque<Frame> arriving = new ArrayDeque<>();

    /**
     * Creates an agent without a connection.
     *
     * @param target the target
     */
    private Node(String target) {
      this.target = target;
    }
  }

  /** Creates agents. */
  @FunctionalInterface
  private interface AgentFactory {

    /**
     * Creates an agent.
     *
     * @param identity the identity of the agent
     * @return the agent
     */
    SimulatedAgent create(PeerIdentity identity);
  }

  /**
   * Creates a fleet.
   *
   * @param seed the seed of the faults
   * @param realAgentLogic whether the agents run the real agent logic instead of a fake
   */
  FaultyFleet(long seed, boolean realAgentLogic) {
    agentFactory =
        realAgentLogic
            ? identity -> new LogicAgent(identity, clock, runs)
            : identity -> new FakeAgent(2, runs);
    random = new Random(seed);
    router.onCatalog(RoutingFixture.catalog());
    for (String target : TARGETS) {
      Node node = new Node(target);
      node.agent = agentFactory.create(identity(node));
      nodes.add(node);
    }
  }

  /**
   * Performs one random action.
   *
   * @param faults whether faults may happen
   */
  void step(boolean faults) {
    Node node = nodes.get(random.nextInt(nodes.size()));
    int action = random.nextInt(100);
    if (action < 10 && faults) {
      sendRequest();
    } else if (action < 12 && faults) {
      disconnectRandomCaller();
    } else if (action < 40) {
      deliverToAgent(node);
    } else if (action < 65) {
      node.agent.work();
      node.arriving.addAll(node.agent.outgoing());
      node.agent.outgoing().clear();
    } else if (action < 90) {
      deliverToRouter(node, faults);
    } else if (action < 95) {
      clock.advance(10);
      router.onTick();
    } else if (node.link == null) {
      connect(node);
    } else if (faults) {
      injectFault(node, action);
    }
    consume();
  }

  /** Runs agents and connections without faults until every request must have ended. */
  void runWithoutFaults() {
    for (int i = 0; i < 400; i++) {
      step(false);
    }
    for (long left = TIMEOUT + 11_000; left > 0; left -= 500) {
      clock.advance(500);
      router.onTick();
      for (int i = 0; i < 40; i++) {
        step(false);
      }
    }
  }

  /** Sends a request of a new caller. */
  private void sendRequest() {
    caller++;
    boolean order = random.nextBoolean();
    CallerRequest.Kind kind = order ? CallerRequest.Kind.SERVICE : CallerRequest.Kind.MODEL;
    if (order) {
      orders.add(caller);
    }
    CallerRequest request = RoutingFixture.request(caller, kind, "POST", TIMEOUT);
    bodies.put(caller, request.body().toStringUtf8());
    router.onRequest(request);
  }

  /** Disconnects a random caller. */
  private void disconnectRandomCaller() {
    if (caller > 0) {
      long leaving = 1 + random.nextInt((int) caller);
      if (effects.of(leaving).ends.isEmpty()) {
        disconnectedCallers.add(leaving);
        router.onCallerGone(leaving);
      }
    }
  }

  /**
   * Delivers the next frame to an agent.
   *
   * @param node the agent
   */
  private void deliverToAgent(Node node) {
    if (node.link != null && !node.link.queued.isEmpty()) {
      node.agent.onFrame(node.link.queued.poll());
    }
  }

  /**
   * Delivers a frame to the router, possibly twice, out of order or not at all.
   *
   * @param node the agent
   * @param faults whether faults may happen
   */
  private void deliverToRouter(Node node, boolean faults) {
    if (node.link == null || node.arriving.isEmpty()) {
      return;
    }
    int fault = faults ? random.nextInt(20) : 20;
    if (fault == 0) {
      node.arriving.poll();
    } else if (fault == 1) {
      node.arriving.addLast(node.arriving.poll());
    } else {
      Frame frame = node.arriving.poll();
      router.onFrame(node.link, frame);
      if (fault == 2) {
        router.onFrame(node.link, frame);
      }
    }
  }

  /**
   * Injects a fault into a connection, an agent or the calls at a target.
   *
   * @param node the agent
   * @param action the kind of fault
   */
  private void injectFault(Node node, int action) {
    switch (action) {
      case 95 -> node.agent.abortRunning();
      case 96 -> node.agent.returnUnstarted();
      case 97 -> {
        disconnect(node, true);
        node.incarnation++;
        node.agent = agentFactory.create(identity(node));
      }
      case 98 -> node.link.queued.poll();
      default -> disconnect(node, false);
    }
  }

  /**
   * Closes a connection; undelivered frames are lost.
   *
   * @param node the agent
   * @param byPeer whether the agent closed it
   */
  private void disconnect(Node node, boolean byPeer) {
    RecordingPeer link = node.link;
    node.link = null;
    node.arriving.clear();
    node.agent.onDisconnect();
    router.onPeerClosed(link, byPeer);
  }

  /**
   * Opens a connection.
   *
   * @param node the agent
   */
  private void connect(Node node) {
    node.link = new RecordingPeer(connection++, identity(node));
    router.onPeerOpen(node.link);
    node.agent.onConnect(node.link.id());
  }

  /**
   * Returns the identity of an agent.
   *
   * @param node the agent
   * @return the identity
   */
  private static PeerIdentity identity(Node node) {
    return RecordingPeer.agent(node.target, "north", node.incarnation);
  }

  /** Reports one consumed byte for each open answer. */
  private void consume() {
    effects.callers.forEach(
        (id, received) -> {
          ByteString body = received.body;
          if (received.ends.isEmpty() && !body.isEmpty()) {
            router.onConsumed(id, 1);
          }
        });
  }
}
