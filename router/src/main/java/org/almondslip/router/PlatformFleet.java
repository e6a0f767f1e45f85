package org.almondslip.router;

import java.util.List;
import java.util.Optional;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.platform.FleetView;
import org.almondslip.protocol.wire.Frame;

/**
 * Catalog and members from the platform and from peers.
 *
 * @param fleet the view of this process
 */
record PlatformFleet(FleetView fleet) implements FleetSource {

  @Override
  public void onTick() {
    fleet.onTick();
  }

  @Override
  public void onPeerOpen(Peer peer) {
    fleet.onPeerOpen(peer);
  }

  @Override
  public void onPeerClosed(Peer peer) {
    fleet.onPeerClosed(peer);
  }

  @Override
  public void onFrame(Peer peer, Frame frame) {
    fleet.onFrame(peer, frame);
  }

  @Override
  public Catalog catalog() {
    return fleet.catalog();
  }

  @Override
  public List<Member> members() {
    return fleet.members();
  }

  @Override
  public Optional<FleetView> view() {
    return Optional.of(fleet);
  }
}
