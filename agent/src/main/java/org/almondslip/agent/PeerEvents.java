package org.almondslip.agent;

import org.almondslip.protocol.CloseReason;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.PeerListener;
import org.almondslip.protocol.wire.Frame;

/** Forwards events of inner connections to the event thread. */
final class PeerEvents implements PeerListener {

  /** Receiver of the events. */
  private final AgentEvent.Sink events;

  /**
   * Creates a listener.
   *
   * @param events the receiver of the events
   */
  PeerEvents(AgentEvent.Sink events) {
    this.events = events;
  }

  @Override
  public void onOpen(PeerConnection connection) {
    events.put(work -> work.onOpen(connection));
  }

  @Override
  public void onFrame(PeerConnection connection, Frame frame) {
    events.put(work -> work.onFrame(connection, frame));
  }

  @Override
  public void onClose(PeerConnection connection, CloseReason reason) {
    events.put(work -> work.onClose(connection));
  }

  @Override
  public void onDialFailed(String address, String detail) {
    events.put(work -> work.onDialFailed(address, detail));
  }
}
