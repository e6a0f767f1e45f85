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

/** Work of the decision thread: passes events to the state machines. */
final class AgentWork implements EventThread.Handler<AgentEvent> {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** State machine of the agent. */
  private final AgentLogic logic;

  /** Client of the target. */
  private final TargetClient target;

  /** State machines of the agent. */
  private final AgentParts parts;

  /** Opened when a planned stop has finished its requests. */
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Catalog as it was last passed on. */
  private Catalog catalog = Catalog.EMPTY;

  /** Whether the instance list last marked this instance as leaving. */
  private boolean leaving;

  /** Whether a planned stop has begun. */
  private boolean stopping;

  /**
   * Creates the work.
   *
   * @param parts the state machines of the agent
   * @param target the client of the target
   */
  AgentWork(AgentParts parts, TargetClient target) {
    this.parts = parts;
    this.logic = parts.logic();
    this.target = target;
  }

  @Override
  public void onEvent(AgentEvent event) {
    event.applyTo(this);
  }

  @Override
  public void onTick() {
    parts.fleet().onTick();
    passOnChanges();
    parts.claims().onTick();
    logic.onTick();
    parts.digest().onTick();
    parts.links().onTick(parts.digest());
    if (stopping && logic.isIdle() && parts.claims().isSettled()) {
      drained.countDown();
    }
  }

  /** Passes on a new catalog and a new mark of the instance list. */
  private void passOnChanges() {
    Catalog newest = parts.fleet().catalog();
    if (newest != catalog) {
      catalog = newest;
      parts.book().retainFlows(flow -> newest.flow(flow.id()).isPresent());
      logic.onCatalog(newest);
    }
    boolean marked = parts.fleet().membership().isSelfLeaving();
    if (marked != leaving) {
      leaving = marked;
      logic.setDrain(DrainReason.INSTANCE_LEAVING, marked);
    }
  }

  /**
   * Takes a new connection.
   *
   * @param connection the connection
   */
  void onOpen(PeerConnection connection) {
    if (parts.links().onOpen(connection, parts.digest())) {
      logic.onOpen(connection);
    }
  }

  /**
   * Takes the end of a connection.
   *
   * @param connection the connection
   */
  void onClose(PeerConnection connection) {
    parts.links().onClose(connection, parts.digest());
    logic.onClose(connection.id());
  }

  /**
   * Takes a frame.
   *
   * @param connection the sender
   * @param frame the frame
   */
  void onFrame(PeerConnection connection, Frame frame) {
    parts.fleet().onFrame(connection, frame);
    passOnChanges();
    if (connection.peer().role() == Role.AGENT) {
      parts.digest().onFrame(connection, frame);
    }
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
    parts.links().onDialFailed(address, parts.digest());
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
