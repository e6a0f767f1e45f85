package org.almondslip.protocol;

import org.almondslip.protocol.wire.Frame;

/**
 * Listener for the events of all connections of a transport. All methods are called on the network
 * thread of the transport.
 */
public interface PeerListener {

  /**
   * Called when a connection has been authenticated.
   *
   * @param connection the connection
   */
  void onOpen(PeerConnection connection);

  /**
   * Called when a frame other than a handshake frame has arrived.
   *
   * @param connection the connection
   * @param frame the frame
   */
  void onFrame(PeerConnection connection, Frame frame);

  /**
   * Called when an authenticated connection has been closed.
   *
   * @param connection the connection
   * @param reason the reason for which it was closed
   */
  void onClose(PeerConnection connection, CloseReason reason);

  /**
   * Called when a connection that this process opens cannot be established or authenticated.
   *
   * @param address the address as {@code ip:port}
   * @param detail a description of the failure
   */
  void onDialFailed(String address, String detail);
}
