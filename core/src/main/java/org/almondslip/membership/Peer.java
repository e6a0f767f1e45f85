package org.almondslip.membership;

import org.almondslip.protocol.wire.Frame;

/** Authenticated connection to another process of the fleet. */
public interface Peer {

  /**
   * Returns the id of the connection, which is unique within this process.
   *
   * @return the id, never reused by a later connection
   */
  long id();

  /**
   * Returns the process at the remote end.
   *
   * @return its identity
   */
  PeerIdentity peer();

  /**
   * Queues a frame. Frames are delivered in the order of the calls or not at all.
   *
   * @param frame the frame
   */
  void send(Frame frame);
}
