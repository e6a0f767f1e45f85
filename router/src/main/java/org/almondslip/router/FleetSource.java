package org.almondslip.router;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.platform.FleetView;
import org.almondslip.protocol.wire.Frame;
import org.apache.commons.rng.UniformRandomProvider;

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
   * Returns the view of the platform, which operators need.
   *
   * @return the view, empty when the catalog does not come from the platform
   */
  Optional<FleetView> view();

  /** Creates a source for a router. */
  @FunctionalInterface
  interface Factory {

    /**
     * Creates a source.
     *
     * @param vertx the event loop of the platform's clients
     * @param self the router
     * @param random the source of jitter
     * @param decision runs actions on the decision thread
     * @return the source
     */
    FleetSource create(
        Vertx vertx, PeerIdentity self, UniformRandomProvider random, Executor decision);
  }

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

    @Override
    public Optional<FleetView> view() {
      return Optional.empty();
    }
  }
}
