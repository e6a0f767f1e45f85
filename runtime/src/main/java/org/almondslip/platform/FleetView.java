package org.almondslip.platform;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.Executor;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.membership.Member;
import org.almondslip.membership.Membership;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.resource.Closer;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Catalog and members of the fleet as known to one process, updated through the platform and the
 * peers.
 *
 * <p>All methods must be called on the decision thread unless stated otherwise.
 */
public final class FleetView implements AutoCloseable {

  /** Timeout of a call to the platform. */
  private static final long CALL_TIMEOUT_MILLIS = 1_000;

  private final Closer closer = new Closer();

  private final HttpTableStore tableStore;

  private final HttpObjectStore objectStore;

  private final Membership membership;

  private final CatalogSync catalogSync;

  /**
   * Creates a view that is empty until the first read.
   *
   * @param vertx the event loops that run the calls to the platform
   * @param addresses the addresses of the services of the platform
   * @param self the identity of this process
   * @param clock the clock that determines when a read is due
   * @param random the source of jitter
   * @param decision the executor that runs callbacks on the decision thread
   */
  public FleetView(
      Vertx vertx,
      PlatformAddresses addresses,
      PeerIdentity self,
      Clock clock,
      UniformRandomProvider random,
      Executor decision) {
    this.tableStore =
        closer.register(
            new HttpTableStore(vertx, addresses.tableService(), CALL_TIMEOUT_MILLIS, decision));
    this.objectStore =
        closer.register(
            new HttpObjectStore(vertx, addresses.objectStore(), CALL_TIMEOUT_MILLIS, decision));
    HttpInstanceList instanceList =
        closer.register(
            new HttpInstanceList(
                vertx, addresses.instanceList(), self.region(), CALL_TIMEOUT_MILLIS, decision));
    this.membership = new Membership(self, instanceList, clock, random, changed -> {});
    this.catalogSync =
        new CatalogSync(tableStore, clock, random, membership::isPoller, changed -> {});
  }

  /** Performs the reads from the platform that are due. */
  public void onTick() {
    membership.onTick();
    catalogSync.onTick();
  }

  /**
   * Registers an open connection.
   *
   * @param peer the connection
   */
  public void onPeerOpen(Peer peer) {
    membership.onPeerOpen(peer);
    catalogSync.onPeerOpen(peer);
  }

  /**
   * Removes a connection that has been closed.
   *
   * @param peer the connection
   */
  public void onPeerClosed(Peer peer) {
    membership.onPeerClosed(peer);
    catalogSync.onPeerClosed(peer);
  }

  /**
   * Handles a frame of the catalog or the membership, and ignores other frames.
   *
   * @param peer the connection
   * @param frame the frame
   */
  public void onFrame(Peer peer, Frame frame) {
    membership.onFrame(peer, frame);
    catalogSync.onFrame(peer, frame);
  }

  /**
   * Returns the newest catalog. This method may be called on any thread.
   *
   * @return the catalog, the same object until it changes
   */
  public Catalog catalog() {
    return catalogSync.catalog();
  }

  /**
   * Returns the known members of the fleet.
   *
   * @return the members, the same object until they change
   */
  public List<Member> members() {
    return membership.members();
  }

  /**
   * Returns the synchronization of the catalog.
   *
   * @return the synchronization
   */
  public CatalogSync catalogSync() {
    return catalogSync;
  }

  /**
   * Returns the membership of the fleet.
   *
   * @return the membership
   */
  public Membership membership() {
    return membership;
  }

  /**
   * Returns the client of the table service.
   *
   * @return the client, whose callbacks run on the decision thread
   */
  public TableStore tableStore() {
    return tableStore;
  }

  /**
   * Returns the client of the object store.
   *
   * @return the client, whose callbacks run on the decision thread
   */
  public ObjectStore objectStore() {
    return objectStore;
  }

  @Override
  public void close() {
    closer.close();
  }
}
