package org.almondslip.router;

import org.almondslip.duty.Duty;
import org.almondslip.protocol.CloseReason;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.PeerListener;
import org.almondslip.protocol.wire.Frame;

/** Passes the events of inner connections on to the decision thread. */
final class PeerEvents implements PeerListener {

  /** Decision thread. */
  private final Duty<RouterEvent> duty;

  /**
   * Creates a listener.
   *
   * @param duty the decision thread
   */
  PeerEvents(Duty<RouterEvent> duty) {
    this.duty = duty;
  }

  @Override
  public void onOpen(PeerConnection connection) {
    duty.put(new RouterEvent.Opened(connection));
  }

  @Override
  public void onFrame(PeerConnection connection, Frame frame) {
    duty.put(new RouterEvent.Received(connection, frame));
  }

  @Override
  public void onClose(PeerConnection connection, CloseReason reason) {
    boolean byPeer = reason == CloseReason.CLOSED_BY_PEER;
    duty.put(new RouterEvent.Closed(connection, byPeer));
  }

  @Override
  public void onDialFailed(String address, String detail) {
    duty.put(new RouterEvent.DialFailed(address));
  }
}
