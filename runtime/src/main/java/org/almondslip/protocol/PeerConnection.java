package org.almondslip.protocol;

import org.almondslip.membership.Peer;

/**
 * An authenticated connection to another process of the fleet.
 *
 * <p>All methods may be called from any thread.
 */
public interface PeerConnection extends Peer {

  /**
   * Returns whether this process opened the connection.
   *
   * @return true for the side that dialled
   */
  boolean dialled();

  /** Closes the connection after the frames that are already queued. */
  void close();
}
