package org.almondslip.gateway;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Keeps the names of the registered routers and passes the changes on to another listener. */
final class RouterNames implements PeerAddressListener {

  private final PeerAddressListener next;

  private final Consumer<Collection<String>> onNames;

  private final Set<String> names = new LinkedHashSet<>();

  private boolean listed;

  /**
   * Creates an empty list.
   *
   * @param self the name of this router
   * @param next the receiver of the changes
   * @param onNames receives the names of all routers once they are known, and each change
   */
  RouterNames(String self, PeerAddressListener next, Consumer<Collection<String>> onNames) {
    this.next = next;
    this.onNames = onNames;
    names.add(self);
  }

  @Override
  public void onPeerAddress(String peer, Optional<String> address, String peerRegion) {
    next.onPeerAddress(peer, address, peerRegion);
    boolean changed = address.isPresent() ? names.add(peer) : names.remove(peer);
    if (changed && listed) {
      onNames.accept(names);
    }
  }

  @Override
  public void onPeersListed() {
    next.onPeersListed();
    listed = true;
    onNames.accept(names);
  }
}
