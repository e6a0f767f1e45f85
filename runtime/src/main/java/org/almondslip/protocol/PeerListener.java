package org.almondslip.protocol;

import org.almondslip.protocol.wire.Frame;

/** Receives the events of all connections of a transport, on the threads of the transport. */
public interface PeerListener {

  /**
   * A connection has been authenticated.
   *
   * @param connection the connection
   */
  void onOpen(PeerConnection connection);

  /**
   * A frame has arrived.
   *
   * @param connection the connection
   * @param frame the frame
   */
  void onFrame(PeerConnection connection, Frame frame);

  /**
   * An authenticated connection has ended.
   *
   * @param connection the connection
   * @param reason why it ended
   */
  void onClose(PeerConnection connection, CloseReason reason);

  /**
   * A dialled address could not be connected or failed the handshake.
   *
   * @param address the address as {@code ip:port}
   * @param detail what failed
   */
  void onDialFailed(String address, String detail);
}
