package org.almondslip.router;

import org.almondslip.duty.EventThread;
import org.almondslip.protocol.CloseReason;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.PeerListener;
import org.almondslip.protocol.wire.Frame;

/** Passes the events of inner connections on to the decision thread. */
final class PeerEvents implements PeerListener {

  /** Decision thread. */
  private final EventThread<RouterEvent> eventThread;

  /**
   * Creates a listener.
   *
   * @param eventThread the decision thread
   */
  PeerEvents(EventThread<RouterEvent> eventThread) {
    this.eventThread = eventThread;
  }

  @Override
  public void onOpen(PeerConnection connection) {
    eventThread.put(new RouterEvent.Opened(connection));
  }

  @Override
  public void onFrame(PeerConnection connection, Frame frame) {
    eventThread.put(new RouterEvent.Received(connection, frame));
  }

  @Override
  public void onClose(PeerConnection connection, CloseReason reason) {
    boolean byPeer = reason == CloseReason.CLOSED_BY_PEER;
    eventThread.put(new RouterEvent.Closed(connection, byPeer));
  }

  @Override
  public void onDialFailed(String address, String detail) {
    eventThread.put(new RouterEvent.DialFailed(address));
  }
}
