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
 * Catalog and members as one process knows them, kept current through the platform and its peers.
 *
 * <p>All methods must be called on the decision thread, unless they say otherwise.
 */
public final class FleetView implements AutoCloseable {

  /** Time limit of a call to the platform, in milliseconds. */
  private static final long CALL_MILLIS = 1_000;

  /** Open clients. */
  private final Closer closer = new Closer();

  /** Platform's tables. */
  private final HttpTableStore tables;

  /** Platform's store of large values. */
  private final HttpObjectStore objects;

  /** Members of the fleet. */
  private final Membership membership;

  /** Catalog of this process. */
  private final CatalogSync sync;

  /**
   * Creates the view before the first read.
   *
   * @param vertx the event loop of the platform's clients
   * @param addresses the addresses of the platform's services
   * @param self this process
   * @param clock the source of time
   * @param random the source of jitter
   * @param decision runs callbacks on the decision thread
   */
  public FleetView(
      Vertx vertx,
      PlatformAddresses addresses,
      PeerIdentity self,
      Clock clock,
      UniformRandomProvider random,
      Executor decision) {
    this.tables =
        closer.register(new HttpTableStore(vertx, addresses.tableService(), CALL_MILLIS, decision));
    this.objects =
        closer.register(new HttpObjectStore(vertx, addresses.objectStore(), CALL_MILLIS, decision));
    HttpInstanceList list =
        closer.register(
            new HttpInstanceList(
                vertx, addresses.instanceList(), self.region(), CALL_MILLIS, decision));
    this.membership = new Membership(self, list, clock, random, changed -> {});
    this.sync = new CatalogSync(tables, clock, random, membership::isPoller, changed -> {});
  }

  /** Reads from the platform what is due. */
  public void onTick() {
    membership.onTick();
    sync.onTick();
  }

  /**
   * Notes an open connection.
   *
   * @param peer the connection
   */
  public void onPeerOpen(Peer peer) {
    membership.onPeerOpen(peer);
    sync.onPeerOpen(peer);
  }

  /**
   * Notes that a connection has ended.
   *
   * @param peer the connection
   */
  public void onPeerClosed(Peer peer) {
    membership.onPeerClosed(peer);
    sync.onPeerClosed(peer);
  }

  /**
   * Takes a frame that may concern the catalog or the members.
   *
   * @param peer the connection
   * @param frame the frame
   */
  public void onFrame(Peer peer, Frame frame) {
    membership.onFrame(peer, frame);
    sync.onFrame(peer, frame);
  }

  /**
   * Returns the newest catalog. It may be called on any thread.
   *
   * @return the catalog, the same object while nothing has changed
   */
  public Catalog catalog() {
    return sync.catalog();
  }

  /**
   * Returns the known members.
   *
   * @return the members, the same object while nothing has changed
   */
  public List<Member> members() {
    return membership.members();
  }

  /**
   * Returns the keeper of the catalog.
   *
   * @return the keeper
   */
  public CatalogSync catalogSync() {
    return sync;
  }

  /**
   * Returns the keeper of the members.
   *
   * @return the keeper
   */
  public Membership membership() {
    return membership;
  }

  /**
   * Returns the platform's tables.
   *
   * @return the client, with callbacks on the decision thread
   */
  public TableStore tableStore() {
    return tables;
  }

  /**
   * Returns the platform's store of large values.
   *
   * @return the client, with callbacks on the decision thread
   */
  public ObjectStore objectStore() {
    return objects;
  }

  @Override
  public void close() {
    closer.close();
  }
}
