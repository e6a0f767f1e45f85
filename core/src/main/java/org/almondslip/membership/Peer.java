package org.almondslip.membership;

import org.almondslip.protocol.wire.Frame;

/** Another process of the fleet over one authenticated connection. */
public interface Peer {

  /**
   * Returns a number that identifies the connection within this process.
   *
   * @return the number, never used again by a later connection
   */
  long id();

  /**
   * Returns the process at the other end.
   *
   * @return its identity
   */
  PeerIdentity peer();

  /**
   * Queues a frame. Frames arrive in the order of the calls or not at all.
   *
   * @param frame the frame
   */
  void send(Frame frame);
}
