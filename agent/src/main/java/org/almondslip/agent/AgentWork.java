package org.almondslip.agent;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.almondslip.accounting.DigestNode;
import org.almondslip.catalog.Catalog;
import org.almondslip.duty.Duty;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.DrainReason;
import org.almondslip.execution.TargetFailure;
import org.almondslip.order.TableClaims;
import org.almondslip.platform.FleetView;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.Announce;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;

/** Work of the decision thread: passes events to the state machines. */
final class AgentWork implements Duty.Handler<AgentEvent> {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** State machine of the agent. */
  private final AgentLogic logic;

  /** Client of the target. */
  private final TargetClient target;

  /** Catalog, members and connections to them. */
  private final FleetView view;

  /** Connections that this agent opens. */
  private final FleetLinks links;

  /** Digest waves. */
  private final DigestNode digests;

  /** Claims of idempotency keys. */
  private final TableClaims claims;

  /** Builds the announcement of this agent. */
  private final Supplier<Announce> announcement;

  /** Opened when a planned stop has finished its requests. */
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Catalog that the state machine of the agent has. */
  private Catalog catalog = Catalog.EMPTY;

  /** Whether a planned stop has begun. */
  private boolean stopping;

  /**
   * Creates the work.
   *
   * @param logic the state machine of the agent
   * @param target the client of the target
   * @param view the catalog and the members
   * @param links the connections that this agent opens
   * @param digests the digest waves
   * @param claims the claims of idempotency keys
   * @param announcement builds the announcement of this agent
   */
  AgentWork(
      AgentLogic logic,
      TargetClient target,
      FleetView view,
      FleetLinks links,
      DigestNode digests,
      TableClaims claims,
      Supplier<Announce> announcement) {
    this.logic = logic;
    this.target = target;
    this.view = view;
    this.links = links;
    this.digests = digests;
    this.claims = claims;
    this.announcement = announcement;
  }

  @Override
  public void onEvent(AgentEvent event) {
    event.applyTo(this);
    takeCatalog();
  }

  @Override
  public void onTick() {
    links.onTick(digests);
    takeCatalog();
    logic.setDrain(DrainReason.INSTANCE_LEAVING, view.membership().isSelfLeaving());
    logic.onTick();
    claims.onTick();
    digests.onTick();
    if (stopping && logic.isIdle() && claims.isSettled()) {
      drained.countDown();
    }
  }

  /**
   * Takes a new connection. A connection that this agent opened to a router only announces it.
   *
   * @param connection the connection
   */
  void onOpen(PeerConnection connection) {
    if (connection.dialled() && connection.peer().role() == Role.ROUTER) {
      connection.send(Frame.newBuilder().setAnnounce(announcement.get()).build());
      connection.close();
      links.onAnnounced(connection.peer().instanceId());
    } else {
      links.onOpen(connection, digests);
      logic.onOpen(connection);
    }
  }

  /**
   * Takes the end of a connection.
   *
   * @param connection the connection
   */
  void onClose(PeerConnection connection) {
    links.onClose(connection, digests);
    logic.onClose(connection.id());
  }

  /**
   * Takes a frame.
   *
   * @param connection the sender
   * @param frame the frame
   */
  void onFrame(PeerConnection connection, Frame frame) {
    view.onFrame(connection, frame);
    digests.onFrame(connection, frame);
    logic.onFrame(connection, frame);
  }

  /**
   * Takes the failure of a dial.
   *
   * @param address the address that was dialled
   * @param detail what failed
   */
  void onDialFailed(String address, String detail) {
    logger.atInfo().log("no connection to %s: %s", address, detail);
    links.onDialFailed(address, digests);
  }

  /** Takes over a new catalog. */
  private void takeCatalog() {
    if (view.catalog() != catalog) {
      catalog = view.catalog();
      logic.onCatalog(catalog);
    }
  }

  /**
   * Takes the head of a target's answer.
   *
   * @param token the call
   * @param head the head
   */
  void onTargetHead(long token, AnswerHead head) {
    logic.onTargetHead(token, head);
    target.consumed(token);
  }

  /**
   * Takes a piece of a target's answer.
   *
   * @param token the call
   * @param data the piece
   */
  void onTargetData(long token, ByteString data) {
    logic.onTargetData(token, data);
    target.consumed(token);
  }

  /**
   * Takes the end of a target's answer.
   *
   * @param token the call
   */
  void onTargetEnd(long token) {
    target.forget(token);
    logic.onTargetEnd(token);
  }

  /**
   * Takes the failure of a call.
   *
   * @param token the call
   * @param failure the failure
   */
  void onTargetFailed(long token, TargetFailure failure) {
    target.forget(token);
    logger.atFine().log("call %d failed: %s", token, failure.detail());
    logic.onTargetFailed(token, failure);
  }

  /**
   * Takes the result of a probe.
   *
   * @param answered whether the target answered
   */
  void onProbe(boolean answered) {
    logic.onProbe(answered);
  }

  /**
   * Takes the load that the target reports.
   *
   * @param load the requests running or waiting there
   */
  void onLoad(int load) {
    logic.onLoad(load);
  }

  /** Begins a planned stop. */
  void stop() {
    stopping = true;
    logic.setDrain(DrainReason.PLANNED_STOP, true);
  }

  /**
   * Returns the latch that opens when a planned stop has finished its requests.
   *
   * @return the latch
   */
  CountDownLatch drained() {
    return drained;
  }
}
