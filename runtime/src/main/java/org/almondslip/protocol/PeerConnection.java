package org.almondslip.protocol;

import org.almondslip.membership.Peer;

/**
 * Authenticated connection to another process of the fleet.
 *
 * <p>All methods may be called from any thread.
 */
public interface PeerConnection extends Peer {

  /**
   * Returns whether this process opened the connection.
   *
   * @return true if this process opened it, false if it accepted it
   */
  boolean dialled();

  /** Closes the connection after the queued frames have been written. */
  void close();
}
