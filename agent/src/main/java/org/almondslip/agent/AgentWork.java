package org.almondslip.agent;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.concurrent.CountDownLatch;
import org.almondslip.catalog.Catalog;
import org.almondslip.duty.EventThread;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.DrainReason;
import org.almondslip.execution.TargetFailure;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;

/** Dispatches events and ticks to the state machines; runs on the event thread. */
final class AgentWork implements EventThread.Handler<AgentEvent> {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Grants slots and runs requests. */
  private final AgentLogic logic;

  /** Client of the target. */
  private final TargetClient target;

  /** State machines of the agent. */
  private final AgentComponents components;

  /** Released when a planned stop has completed all requests. */
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Catalog last passed to the state machines. */
  private Catalog catalog = Catalog.EMPTY;

  /** Whether the instance list last marked this instance as leaving. */
  private boolean leaving;

  /** Whether a planned stop has begun. */
  private boolean stopping;

  /**
   * Creates a handler.
   *
   * @param components the state machines of the agent
   * @param target the client of the target
   */
  AgentWork(AgentComponents components, TargetClient target) {
    this.components = components;
    this.logic = components.logic();
    this.target = target;
  }

  @Override
  public void onEvent(AgentEvent event) {
    event.applyTo(this);
  }

  @Override
  public void onTick() {
    components.fleet().onTick();
    propagateChanges();
    components.claims().onTick();
    logic.onTick();
    components.digest().onTick();
    components.connections().onTick(components.digest());
    if (stopping && logic.isIdle() && components.claims().isSettled()) {
      drained.countDown();
    }
  }

  /** Notifies the state machines of a new catalog or a changed leaving state of this instance. */
  private void propagateChanges() {
    Catalog current = components.fleet().catalog();
    if (current != catalog) {
      catalog = current;
      components.scheduler().retainFlows(flow -> current.flow(flow.id()).isPresent());
      logic.onCatalog(current);
    }
    boolean selfLeaving = components.fleet().membership().isSelfLeaving();
    if (selfLeaving != leaving) {
      leaving = selfLeaving;
      logic.setDrain(DrainReason.INSTANCE_LEAVING, selfLeaving);
    }
  }

  /**
   * Handles a new connection.
   *
   * @param connection the connection
   */
  void onOpen(PeerConnection connection) {
    if (components.connections().onOpen(connection, components.digest())) {
      logic.onOpen(connection);
    }
  }

  /**
   * Handles the close of a connection.
   *
   * @param connection the connection
   */
  void onClose(PeerConnection connection) {
    components.connections().onClose(connection, components.digest());
    logic.onClose(connection.id());
  }

  /**
   * Handles a frame.
   *
   * @param connection the sender
   * @param frame the frame
   */
  void onFrame(PeerConnection connection, Frame frame) {
    components.fleet().onFrame(connection, frame);
    propagateChanges();
    if (connection.peer().role() == Role.AGENT) {
      components.digest().onFrame(connection, frame);
    }
    logic.onFrame(connection, frame);
  }

  /**
   * Handles a failed connection attempt.
   *
   * @param address the remote address as {@code ip:port}
   * @param detail the description of the failure
   */
  void onDialFailed(String address, String detail) {
    logger.atInfo().log("connection to %s failed: %s", address, detail);
    components.connections().onDialFailed(address, components.digest());
  }

  /**
   * Handles the status and headers of a target's response.
   *
   * @param token the token of the call
   * @param head the head
   */
  void onTargetHead(long token, AnswerHead head) {
    logic.onTargetHead(token, head);
    target.onChunkHandled(token);
  }

  /**
   * Handles a chunk of a target's response body.
   *
   * @param token the token of the call
   * @param data the chunk
   */
  void onTargetData(long token, ByteString data) {
    logic.onTargetData(token, data);
    target.onChunkHandled(token);
  }

  /**
   * Handles the end of a target's response.
   *
   * @param token the token of the call
   */
  void onTargetEnd(long token) {
    target.remove(token);
    logic.onTargetEnd(token);
  }

  /**
   * Handles the failure of a call.
   *
   * @param token the token of the call
   * @param failure the failure
   */
  void onTargetFailed(long token, TargetFailure failure) {
    target.remove(token);
    logger.atFine().log("call %d failed: %s", token, failure.detail());
    logic.onTargetFailed(token, failure);
  }

  /**
   * Handles the result of a health probe.
   *
   * @param answered whether the target answered
   */
  void onProbe(boolean answered) {
    logic.onProbe(answered);
  }

  /**
   * Handles a load report of the target.
   *
   * @param load the number of requests running or waiting at the target
   */
  void onLoad(int load) {
    logic.onLoad(load);
  }

  /** Starts draining for a planned stop. */
  void stop() {
    stopping = true;
    logic.setDrain(DrainReason.PLANNED_STOP, true);
  }

  /**
   * Returns the latch that is released when a planned stop has completed all requests.
   *
   * @return the latch
   */
  CountDownLatch drained() {
    return drained;
  }
}
