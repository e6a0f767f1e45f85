package org.almondslip.gateway;

import java.util.Optional;

/** Receives changes of the addresses of other routers. */
public interface PeerAddressListener {

  /**
   * Called when the address of a router becomes known or changes.
   *
   * @param name the name of the router's instance
   * @param address the UDP address as {@code ip:port}, empty when the router was removed
   * @param region the region of the router, empty when it is unknown
   */
  void onPeerAddress(String name, Optional<String> address, String region);

  /** Called when the addresses of all registered routers have been reported. */
  void onPeersListed();
}
