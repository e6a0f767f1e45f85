package org.almondslip.router;

import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.Frame;

/** Where a router learns the catalog and the members. All methods run on the decision thread. */
interface FleetSource {

  /** Does what is due. */
  void onTick();

  /**
   * Notes an open connection.
   *
   * @param peer the connection
   */
  void onPeerOpen(Peer peer);

  /**
   * Notes that a connection has ended.
   *
   * @param peer the connection
   */
  void onPeerClosed(Peer peer);

  /**
   * Takes a frame that may concern the catalog or the members.
   *
   * @param peer the connection
   * @param frame the frame
   */
  void onFrame(Peer peer, Frame frame);

  /**
   * Returns the newest catalog.
   *
   * @return the catalog, the same object while nothing has changed
   */
  Catalog catalog();

  /**
   * Returns the known members.
   *
   * @return the members, the same object while nothing has changed
   */
  List<Member> members();

  /**
   * Catalog and members that never change.
   *
   * @param catalog the catalog
   * @param members the members
   */
  record Fixed(Catalog catalog, List<Member> members) implements FleetSource {

    @Override
    public void onTick() {}

    @Override
    public void onPeerOpen(Peer peer) {}

    @Override
    public void onPeerClosed(Peer peer) {}

    @Override
    public void onFrame(Peer peer, Frame frame) {}
  }
}
