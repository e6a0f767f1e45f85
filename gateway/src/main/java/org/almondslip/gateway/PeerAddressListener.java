package org.almondslip.gateway;

import java.util.Optional;

/** Receiver of the addresses of other routers. */
public interface PeerAddressListener {

  /**
   * Takes the address of a router.
   *
   * @param name the name of its instance
   * @param address the address for datagrams as {@code ip:port}, empty when the router has left
   */
  void onPeerAddress(String name, Optional<String> address);
}
