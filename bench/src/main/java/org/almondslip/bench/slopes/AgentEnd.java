package org.almondslip.bench.slopes;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.almondslip.accounting.AccountLedger;
import org.almondslip.accounting.FlowDirectory;
import org.almondslip.accounting.PortionRule;
import org.almondslip.catalog.Catalog;
import org.almondslip.execution.AgentEffects;
import org.almondslip.execution.AgentLimits;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.ExecutionCounters;
import org.almondslip.execution.TargetCall;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.UnavailableClaims;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Header;
import org.almondslip.protocol.wire.Role;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.scheduling.Policy;
import org.almondslip.scheduling.PolicyOfferScheduler;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Agent with the real decisions and codec, and a target that answers when it is told to. */
final class AgentEnd {

  /** Slot time of the largest request, in milliseconds. */
  static final long LARGEST_COST_MILLIS = 10_000;

  /** Bytes of the event of one token. */
  private static final int TOKEN_BYTES = 160;

  /** Event of one token. */
  private static final ByteString TOKEN =
      ByteString.copyFromUtf8("data: " + "x".repeat(TOKEN_BYTES - 8) + "\n\n");

  /** Head of each answer. */
  private static final AnswerHead HEAD =
      AnswerHead.newBuilder()
          .setStatus(200)
          .addHeaders(
              Header.newBuilder().setName("content-type").setValue("text/event-stream").build())
          .build();

  /** Frames sent to routers. */
  final FrameTally sent = new FrameTally();

  /** Frames on their way to this agent. */
  final Queue<Port.Delivery> inbox = new ArrayDeque<>();

  /** Identity of the agent. */
  private final PeerIdentity identity;

  /** Decisions. */
  private final AgentLogic logic;

  /** Connections by number. */
  private final Map<Long, Peer> peers = new HashMap<>();

  /** Calls at the target. */
  private final List<Long> calls = new ArrayList<>();

  /**
   * Creates an agent without connections and with a healthy target.
   *
   * @param number the number of the agent
   * @param target the name of the target
   * @param clock the source of time
   * @param catalog the catalog
   */
  AgentEnd(int number, String target, Clock clock, Catalog catalog) {
    String address = "127.0.0.1:" + (10_000 + number);
    this.identity =
        new PeerIdentity("agent-" + number, 1, Role.AGENT, "north", "dc-0", address, target);
    AccountLedger ledger =
        new AccountLedger(
            PortionRule.MEASURED,
            target,
            FlowDirectory.of(() -> catalog),
            LARGEST_COST_MILLIS,
            RandomSource.SPLIT_MIX_64.create((long) number));
    this.logic =
        new AgentLogic(
            identity,
            AgentLimits.DEFAULT,
            clock,
            new TargetEffects(),
            UnavailableClaims.INSTANCE,
            new PolicyOfferScheduler(Policy.FAIR, ledger, 0),
            ledger,
            new SuspectRegistry(),
            new ExecutionCounters());
    logic.onCatalog(catalog);
    logic.onProbe(true);
  }

  /**
   * Returns the identity.
   *
   * @return the identity
   */
  PeerIdentity identity() {
    return identity;
  }

  /**
   * Opens a connection.
   *
   * @param peer the connection
   */
  void open(Peer peer) {
    peers.put(peer.id(), peer);
    logic.onOpen(peer);
  }

  /** Takes the frames that have arrived. */
  void receive() {
    for (Port.Delivery next = inbox.poll(); next != null; next = inbox.poll()) {
      logic.onFrame(peers.get(next.connection()), next.frame());
    }
  }

  /**
   * Takes a frame.
   *
   * @param connection the number of the connection
   * @param frame the frame
   */
  void onFrame(long connection, Frame frame) {
    logic.onFrame(peers.get(connection), frame);
  }

  /** Does what is due. */
  void tick() {
    logic.onTick();
  }

  /** Begins all answers. */
  void head() {
    calls.forEach(token -> logic.onTargetHead(token, HEAD));
  }

  /** Yields one token of each answer. */
  void token() {
    calls.forEach(token -> logic.onTargetData(token, TOKEN));
  }

  /** Ends all answers. */
  void end() {
    List<Long> ended = List.copyOf(calls);
    calls.clear();
    ended.forEach(logic::onTargetEnd);
  }

  /** Target that keeps the calls until they are ended. */
  private final class TargetEffects implements AgentEffects {

    @Override
    public void start(TargetCall call) {
      calls.add(call.token());
    }

    @Override
    public void pause(long token) {
      throw new IllegalStateException("an answer of the measurement filled its window");
    }

    @Override
    public void resume(long token) {}

    @Override
    public void cancel(long token) {}

    @Override
    public void probe() {}
  }
}
