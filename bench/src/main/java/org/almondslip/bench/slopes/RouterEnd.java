package org.almondslip.bench.slopes;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.routing.CallerRequest;
import org.almondslip.routing.Outcome;
import org.almondslip.routing.RouterEffects;
import org.almondslip.routing.RouterLogic;
import org.almondslip.routing.RoutingSettings;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Router with the real decisions and codec; its callers read their answers at once. */
final class RouterEnd {

  /** Identity of the router. */
  static final PeerIdentity IDENTITY =
      new PeerIdentity("router-1", 1L << 60, Role.ROUTER, "north", "dc-0", "127.0.0.1:1", "");

  /** Body of each request, in bytes. */
  private static final int BODY_BYTES = 2_000;

  /** Deadline of each request, long enough that none expires, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 3_600_000;

  /** Hint of the slot time, in milliseconds. */
  private static final long HINT_MILLIS = 2_000;

  /** Body of the requests. */
  private static final ByteString BODY = ByteString.copyFrom(new byte[BODY_BYTES]);

  /** Frames sent to agents. */
  final FrameTally sent = new FrameTally();

  /** Frames on their way to this router. */
  final Queue<Port.Delivery> inbox = new ArrayDeque<>();

  /** Decisions. */
  private final RouterLogic logic;

  /** Connections by number. */
  private final Map<Long, Peer> peers = new HashMap<>();

  /** Parts that callers have not read yet. */
  private final Queue<Part> parts = new ArrayDeque<>();

  /** Number of requests that ended completely. */
  private long completed;

  /** Number of the last request. */
  private long lastCaller;

  /**
   * Part of an answer.
   *
   * @param caller the request
   * @param bytes the size
   */
  private record Part(long caller, int bytes) {}

  /**
   * Creates a router without connections.
   *
   * @param clock the source of time
   * @param catalog the catalog
   */
  RouterEnd(Clock clock, Catalog catalog) {
    this.logic =
        new RouterLogic(
            IDENTITY.incarnation(),
            IDENTITY.region(),
            RoutingSettings.DEFAULT.withQueues(4_096, 4_096, 1 << 20).withHeldBytes(1L << 40),
            new SuspectRegistry(),
            clock,
            RandomSource.SPLIT_MIX_64.create(1L),
            new Callers());
    logic.onCatalog(catalog);
  }

  /**
   * Opens a connection to a healthy agent.
   *
   * @param peer the connection
   */
  void open(Peer peer) {
    peers.put(peer.id(), peer);
    logic.onPeerOpen(peer);
    logic.onFrame(peer, heartbeat(1));
  }

  /**
   * Builds the heartbeat of an idle agent.
   *
   * @param sequence its number
   * @return the frame
   */
  static Frame heartbeat(long sequence) {
    AgentStatus.Builder status =
        AgentStatus.newBuilder().setSlots(64).setFreeSlots(64).setHealthy(true).setReportedLoad(8);
    return Frame.newBuilder()
        .setHeartbeat(
            Heartbeat.newBuilder().setSequence(sequence).setCatalogRevision(420).setAgent(status))
        .build();
  }

  /**
   * Builds the heartbeat of a router.
   *
   * @param sequence its number
   * @return the frame
   */
  static Frame ownHeartbeat(long sequence) {
    return Frame.newBuilder()
        .setHeartbeat(Heartbeat.newBuilder().setSequence(sequence).setCatalogRevision(420))
        .build();
  }

  /**
   * Takes a request of a caller.
   *
   * @param flow the flow of the request
   * @param body whether the request has a body
   */
  void submit(Flow flow, boolean body) {
    logic.onRequest(
        new CallerRequest(
            ++lastCaller,
            flow.organisation(),
            flow.pool(),
            CallerRequest.Kind.MODEL,
            "POST",
            "/v1/chat/completions",
            List.of(),
            body ? BODY : ByteString.EMPTY,
            TIMEOUT_MILLIS,
            HINT_MILLIS,
            true,
            ""));
  }

  /** Takes the frames that have arrived, and lets the callers read. */
  void receive() {
    for (Port.Delivery next = inbox.poll(); next != null; next = inbox.poll()) {
      logic.onFrame(peers.get(next.connection()), next.frame());
      for (Part part = parts.poll(); part != null; part = parts.poll()) {
        logic.onConsumed(part.caller, part.bytes);
      }
    }
  }

  /** Does what is due. */
  void tick() {
    logic.onTick();
  }

  /**
   * Returns the number of complete answers.
   *
   * @return the number since the start
   */
  long completed() {
    return completed;
  }

  /** Callers that read their answers at once. */
  private final class Callers implements RouterEffects {

    @Override
    public void head(long caller, AnswerHead head) {}

    @Override
    public void data(long caller, ByteString data) {
      parts.add(new Part(caller, data.size()));
    }

    @Override
    public void end(long caller, Outcome outcome) {
      if (!outcome.equals(Outcome.COMPLETE)) {
        throw new IllegalStateException("a request of the measurement ended with " + outcome);
      }
      completed++;
    }

    @Override
    public void dialMore(String pool) {}

    @Override
    public void recordSuspect(SuspectNotice notice) {}
  }
}
