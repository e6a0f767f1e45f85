package org.almondslip.bench.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.stream.IntStream;
import org.almondslip.accounting.AccountLedger;
import org.almondslip.accounting.DigestNode;
import org.almondslip.accounting.DigestSettings;
import org.almondslip.accounting.FlowDirectory;
import org.almondslip.accounting.PortionRule;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.DigestTree;
import org.almondslip.membership.Member;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Digest waves of all agents at the planned scale; one agent of each role is measured. */
final class DigestRig {

  /** Agents. */
  private static final int AGENTS = 600;

  /** Data centres. */
  private static final int DATA_CENTRES = 6;

  /** Pools. */
  private static final int POOLS = 11;

  /** Waves of a round; even, because roots exchange counters in every second wave. */
  private static final int WAVES = 4;

  /** Charge of a flow at an agent in a wave, in milliseconds of slot time. */
  private static final long CHARGE_MILLIS = 700;

  /** Time that moves from wave to wave. */
  private final Clock.Manual clock = new Clock.Manual(1_700_000_000_000L);

  /** Agents by instance id. */
  private final Map<String, Node> nodes = new HashMap<>();

  /** Frames under way. */
  private final Queue<Envelope> inTransit = new ArrayDeque<>();

  /** Measured agents by role. */
  private final Map<String, Node> measured = new HashMap<>();

  /** Active flows. */
  private final int flows;

  /** Number of the next charge. */
  private long token;

  /**
   * Encoded frame on its way.
   *
   * @param from the sender
   * @param to the receiver
   * @param bytes the frame
   */
  private record Envelope(Node from, Node to, byte[] bytes) {}

  /**
   * Creates all agents.
   *
   * @param flows the flows that are served and backlogged
   */
  DigestRig(int flows) {
    this.flows = flows;
    ScaleCatalog scale = new ScaleCatalog(flows, POOLS, AGENTS, 1);
    Catalog catalog = scale.toCatalog();
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < AGENTS; i++) {
      Node node = new Node(i, scale, catalog);
      nodes.put(node.identity.instanceId(), node);
      members.add(node.member());
    }
    nodes.values().forEach(node -> node.digest.onMembers(members));
    List<String> heap = DigestTree.of(members).agents("dc-0");
    measured.put("root", nodes.get(heap.get(0)));
    measured.put("inner", nodes.get(heap.get(DigestTree.FAN_OUT + 2)));
    measured.put("leaf", nodes.get(heap.get(heap.size() - 1)));
  }

  /**
   * Runs the waves of a round.
   *
   * @return the costs of a wave by role, and the bytes of one message by kind
   */
  Map<String, Double> run() {
    measured.values().forEach(Node::reset);
    for (int i = 0; i < WAVES; i++) {
      runWave();
    }
    Map<String, Double> costs = new HashMap<>();
    measured.forEach(
        (role, node) -> {
          costs.put(role + "_us_per_wave", node.time.takeMicros() / WAVES);
          costs.put(
              role + "_control_bytes_per_wave",
              (node.sent.takeControl() + node.received.takeControl()) / WAVES);
          costs.put(role + "_frames_per_wave", node.frames / (double) WAVES);
        });
    Node root = measured.get("root");
    Node leaf = measured.get("leaf");
    costs.put("leaf_report_bytes", leaf.sent.take(Frame.BodyCase.SERVICE_REPORT) / WAVES);
    costs.put("digest_bytes", leaf.received.take(Frame.BodyCase.SERVICE_DIGEST) / WAVES);
    Node inner = measured.get("inner");
    costs.put("inner_report_bytes", inner.sent.take(Frame.BodyCase.SERVICE_REPORT) / WAVES);
    double exchanges = (DATA_CENTRES - 1) * WAVES / 2.0;
    costs.put("exchange_bytes", root.sent.take(Frame.BodyCase.ROOT_EXCHANGE) / exchanges);
    costs.put("snapshot_bytes", root.sent.take(Frame.BodyCase.ROOT_SNAPSHOT) / WAVES);
    return costs;
  }

  /** Charges all flows and runs a wave to its end. */
  private void runWave() {
    nodes.values().forEach(Node::charge);
    clock.advance(DigestSettings.DEFAULT.intervalMillis());
    nodes.values().forEach(node -> node.time.time(node.digest::onTick));
    for (Envelope next = inTransit.poll(); next != null; next = inTransit.poll()) {
      next.to.receive(next);
    }
  }

  /** Agent with its accounts. */
  private final class Node {

    /** Identity of the agent. */
    private final PeerIdentity identity;

    /** Accounts. */
    private final AccountLedger ledger;

    /** Digests. */
    private final DigestNode digest;

    /** Flows of the agent's pool. */
    private final List<Flow> own;

    /** Processor time. */
    private final ProcessorTime time = new ProcessorTime();

    /** Frames sent. */
    private FrameTally sent = new FrameTally();

    /** Frames received. */
    private FrameTally received = new FrameTally();

    /** Number of frames sent and received. */
    private int frames;

    /**
     * Creates an agent.
     *
     * @param number the number of the agent
     * @param scale the sizes
     * @param catalog the catalog
     */
    private Node(int number, ScaleCatalog scale, Catalog catalog) {
      int dataCentre = number % DATA_CENTRES;
      this.identity =
          new PeerIdentity(
              "agent-" + number,
              1,
              Role.AGENT,
              "region-" + dataCentre % 2,
              "dc-" + dataCentre,
              "127.0.0.1:" + (10_000 + number),
              scale.target(number));
      this.own =
          IntStream.range(0, flows)
              .filter(i -> scale.pool(i).equals(scale.pool(number)))
              .mapToObj(scale::flow)
              .toList();
      FlowDirectory directory = FlowDirectory.of(() -> catalog);
      this.ledger =
          new AccountLedger(
              PortionRule.MEASURED,
              identity.target(),
              directory,
              AgentEnd.LARGEST_COST_MILLIS,
              RandomSource.SPLIT_MIX_64.create((long) number));
      this.digest =
          new DigestNode(
              DigestSettings.DEFAULT, member(), ledger, () -> own, directory, clock, this::send);
    }

    /**
     * Returns the agent as the instance list gives it.
     *
     * @return the member
     */
    private Member member() {
      return new Member(
          identity.instanceId(),
          Role.AGENT,
          identity.region(),
          identity.dataCentre(),
          identity.innerAddress(),
          identity.target(),
          false);
    }

    /** Starts the measurement again at 0. */
    private void reset() {
      time.takeMicros();
      sent = new FrameTally();
      received = new FrameTally();
      frames = 0;
    }

    /** Charges each flow of the pool. */
    private void charge() {
      for (Flow flow : own) {
        ledger.start(++token, flow, CHARGE_MILLIS);
        ledger.settle(token, CHARGE_MILLIS + token % CHARGE_MILLIS);
      }
    }

    /**
     * Sends a frame.
     *
     * @param instanceId the receiver
     * @param frame the frame
     */
    private void send(String instanceId, Frame frame) {
      byte[] bytes = frame.toByteArray();
      sent.count(frame, bytes.length);
      frames++;
      inTransit.add(new Envelope(this, nodes.get(instanceId), bytes));
    }

    /**
     * Takes a frame.
     *
     * @param envelope the frame
     */
    private void receive(Envelope envelope) {
      time.time(
          () -> {
            Frame frame = new Port.Delivery(0, envelope.bytes).frame();
            received.count(frame, envelope.bytes.length);
            frames++;
            digest.onFrame(new Port(0, envelope.from.identity, sent, new DroppingQueue()), frame);
          });
    }
  }
}
