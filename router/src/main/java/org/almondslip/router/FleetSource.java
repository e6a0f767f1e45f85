package org.almondslip.router;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.router.admin.AdminService;

/**
 * Where a router learns the catalog and the members. All methods but {@link #admin} and {@link
 * #close} run on the decision thread.
 */
interface FleetSource extends AutoCloseable {

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
   * Returns the crash marks that were in durable storage at the start of this process.
   *
   * @return the marks, the same object while nothing has changed
   */
  List<SuspectNotice> storedSuspects();

  /**
   * Records a crash mark, or the clearing of one, in durable storage.
   *
   * @param notice the mark
   */
  void recordSuspect(SuspectNotice notice);

  /**
   * Returns the operations of the operators' interface.
   *
   * @param status the status of this process; called on the decision thread
   * @return the operations, empty when the source cannot be changed
   */
  Optional<AdminService> admin(Supplier<JsonObject> status);

  @Override
  void close();

  /** Creates a source for a router. */
  @FunctionalInterface
  interface Factory {

    /**
     * Creates a source.
     *
     * @param self the router
     * @param vertx the event loops
     * @param decision runs work on the decision thread
     * @return the source
     */
    FleetSource create(PeerIdentity self, Vertx vertx, Executor decision);
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
    public List<SuspectNotice> storedSuspects() {
      return List.of();
    }

    @Override
    public void recordSuspect(SuspectNotice notice) {}

    @Override
    public Optional<AdminService> admin(Supplier<JsonObject> status) {
      return Optional.empty();
    }

    @Override
    public void close() {}
  }
}
