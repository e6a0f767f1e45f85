package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Replicates the catalog to this process from the table service and from peers.
 *
 * <p>All methods but {@link #catalog} and {@link #isReady} must be called on the thread on which
 * the table store runs its callbacks.
 */
public final class CatalogSync {

  /**
   * Interval at which elected pollers read the revision from the table service, in milliseconds.
   */
  static final long POLLER_INTERVAL_MILLIS = 1_000;

  /** Mean interval at which all other processes read it, in milliseconds. */
  static final long NON_POLLER_INTERVAL_MILLIS = 30_000;

  /** Maximum relative deviation from the mean interval. */
  private static final double JITTER = 0.2;

  /** Time after which an unanswered read no longer delays the next one, in milliseconds. */
  private static final long READ_TIMEOUT_MILLIS = 10_000;

  /**
   * Time after which changes are requested from another peer, in milliseconds. Several unresponsive
   * peers can be tried in turn within the 4 s in which a change must reach all processes.
   */
  static final long PULL_TIMEOUT_MILLIS = 300;

  private final CatalogLoader loader;

  private final Clock clock;

  /** Random source for interval jitter. */
  private final UniformRandomProvider random;

  /** Whether this process is an elected poller. */
  private final BooleanSupplier poller;

  /** Notified of each new catalog. */
  private final Listener listener;

  /** Ticket appliers whose retries are driven by {@link #onTick}. */
  private final List<TicketApplier> appliers = new ArrayList<>();

  /** Replication state of each open connection by connection id. */
  private final Map<Long, CatalogPeer> peers = new HashMap<>();

  /** Current catalog, written on the callback thread and read on any thread. */
  private volatile Catalog catalog = Catalog.EMPTY;

  /** Highest revision that any peer has reported. */
  private long highestPeerRevision;

  /** Whether the catalog has been loaded from the table service or a peer. */
  private volatile boolean ready;

  /** Clock time of the last read in milliseconds, empty before the first. */
  private Optional<Long> lastReadTime = Optional.empty();

  /** Sequence number of the latest read; results of earlier reads are merged only. */
  private long readSequence;

  /** Whether a read is outstanding. */
  private boolean reading;

  /** Whether the table service has changed since the outstanding read was started. */
  private boolean readAgain;

  /** Randomized interval until the next read if this process is not a poller, in milliseconds. */
  private long nonPollerInterval;

  /** Listener for catalog changes. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called on the callback thread of the table store after the catalog has changed.
     *
     * @param catalog the new catalog
     */
    void onCatalog(Catalog catalog);
  }

  /**
   * Creates an empty catalog that is not ready; the first tick starts the first read.
   *
   * @param store the client of the table service
   * @param clock the clock for intervals and timeouts
   * @param random the random source for interval jitter
   * @param poller returns whether this process is currently an elected poller
   * @param listener the listener to notify of each new catalog
   */
  public CatalogSync(
      TableStore store,
      Clock clock,
      UniformRandomProvider random,
      BooleanSupplier poller,
      Listener listener) {
    this.loader = new CatalogLoader(store);
    this.clock = clock;
    this.random = random;
    this.poller = poller;
    this.listener = listener;
    this.nonPollerInterval = randomNonPollerInterval();
  }

  /**
   * Returns the current catalog. This method may be called on any thread.
   *
   * @return the catalog, empty before the first load
   */
  public Catalog catalog() {
    return catalog;
  }

  /**
   * Returns whether the catalog has been loaded from the table service or a peer. This method may
   * be called on any thread.
   *
   * @return true once the process may accept work
   */
  public boolean isReady() {
    return ready;
  }

  /**
   * Starts a due read, repeats a timed-out request to another peer and runs due retries of tickets.
   * It must be called at least ten times a second.
   */
  public void onTick() {
    if (isReadDue()) {
      read();
    }
    pull();
    appliers.forEach(TicketApplier::onTick);
  }

  /**
   * Registers an applier whose retries are driven by {@link #onTick}.
   *
   * @param applier the applier to register
   */
  void register(TicketApplier applier) {
    appliers.add(applier);
  }

  /**
   * Reads the table service immediately, or again after the outstanding read, because it has
   * changed, for instance by a ticket that this process applied.
   */
  public void onStoreChanged() {
    if (reading) {
      readAgain = true;
    } else {
      read();
    }
  }

  /**
   * Publishes the changes of a ticket that this process has applied. They are announced to peers
   * without another read, so that they propagate even if the table service fails after the write.
   *
   * @param applied the catalog that includes the ticket
   */
  void onApplied(Catalog applied) {
    ready = true;
    publish(mergeSnapshot(applied));
  }

  /**
   * Adds a connection and announces the current revision to the peer.
   *
   * @param peer the opened connection
   */
  public void onPeerOpen(Peer peer) {
    peers.put(peer.id(), new CatalogPeer(peer));
    peer.send(CatalogFrames.revision(catalog.revision()));
  }

  /**
   * Removes a connection and requests outstanding changes from another peer.
   *
   * @param peer the closed connection
   */
  public void onPeerClosed(Peer peer) {
    peers.remove(peer.id());
    pull();
  }

  /**
   * Handles a frame from a peer. Frames of unknown connections and frames that do not concern the
   * catalog are ignored.
   *
   * @param from the connection that received the frame
   * @param frame the received frame
   */
  public void onFrame(Peer from, Frame frame) {
    CatalogPeer peer = peers.get(from.id());
    if (peer == null) {
      return;
    }
    switch (frame.getBodyCase()) {
      case HEARTBEAT -> onRevision(peer, frame.getHeartbeat().getCatalogRevision());
      case CATALOG_REVISION -> onRevision(peer, frame.getCatalogRevision().getRevision());
      case CATALOG_PULL -> sendChanges(peer, frame.getCatalogPull().getAfterRevision());
      case CATALOG_CHANGES -> onChanges(peer, frame.getCatalogChanges());
      default -> {
        // Other frames are handled by other components.
      }
    }
  }

  /**
   * Returns whether the next read is due. A process without connections receives no announcements,
   * so it reads as often as a poller.
   *
   * @return true if the interval has elapsed
   */
  private boolean isReadDue() {
    if (lastReadTime.isEmpty()) {
      return true;
    }
    long since = clock.millis() - lastReadTime.get();
    if (reading) {
      return since >= READ_TIMEOUT_MILLIS;
    }
    boolean frequent = !ready || peers.isEmpty() || poller.getAsBoolean();
    return since >= (frequent ? POLLER_INTERVAL_MILLIS : nonPollerInterval);
  }

  /**
   * Returns a randomized read interval for processes that are not pollers.
   *
   * @return the interval in milliseconds
   */
  private long randomNonPollerInterval() {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    return Math.round(NON_POLLER_INTERVAL_MILLIS * factor);
  }

  /** Starts loading changes from the table service. */
  private void read() {
    lastReadTime = Optional.of(clock.millis());
    nonPollerInterval = randomNonPollerInterval();
    reading = true;
    readAgain = false;
    long number = ++readSequence;
    loader.load(catalog, result -> onRead(number, result));
  }

  /**
   * Merges the result of a read and reads again if the table service has changed meanwhile.
   *
   * @param number the sequence number of the read
   * @param result the loaded catalog
   */
  private void onRead(long number, StoreResult<CatalogLoader.Loaded> result) {
    boolean again = number == readSequence && readAgain;
    reading = reading && number != readSequence;
    if (result instanceof StoreResult.Success<CatalogLoader.Loaded> success) {
      ready = true;
      publish(mergeSnapshot(success.value().catalog()));
    }
    if (again) {
      read();
    }
  }

  /**
   * Merges the newer objects of another complete catalog into the current one.
   *
   * @param other the other catalog
   * @return the merged catalog, the current one if nothing changed
   */
  private Catalog mergeSnapshot(Catalog other) {
    return catalog.merge(other.changedAfter(catalog.revision()), other.revision());
  }

  /**
   * Records the revision of a peer and requests changes if it is higher than the local one.
   *
   * @param peer the peer
   * @param revision the reported revision
   */
  private void onRevision(CatalogPeer peer, long revision) {
    peer.updateRevision(revision);
    highestPeerRevision = Math.max(highestPeerRevision, revision);
    pull();
  }

  /**
   * Requests changes from a peer with a higher revision, unless a request is outstanding. Peers
   * without an unanswered request are preferred, then those with the highest revision.
   *
   * <p>This method is called for each heartbeat, so it returns without a scan of all peers in the
   * common case that no peer has a higher revision.
   */
  private void pull() {
    if (highestPeerRevision <= catalog.revision()) {
      return;
    }
    long now = clock.millis();
    boolean outstanding =
        peers.values().stream().anyMatch(peer -> peer.isPulling(now, PULL_TIMEOUT_MILLIS));
    if (!outstanding) {
      peers.values().stream()
          .filter(peer -> peer.revision() > catalog.revision())
          .min(
              Comparator.comparing(CatalogPeer::lastPull)
                  .thenComparing(CatalogPeer::descendingRevision))
          .ifPresent(peer -> peer.pull(catalog.revision(), now));
    }
  }

  /**
   * Responds to a request for changes, or announces the current revision if there are none.
   *
   * @param peer the requesting peer
   * @param after the revision after which changes are requested
   */
  private void sendChanges(CatalogPeer peer, long after) {
    if (catalog.revision() > after) {
      CatalogFrames.changes(catalog, after).forEach(peer::send);
    } else {
      peer.send(CatalogFrames.revision(catalog.revision()));
    }
  }

  /**
   * Handles a frame with changes and merges the changes once the response is complete.
   *
   * @param peer the sending peer
   * @param changes the received frame
   */
  private void onChanges(CatalogPeer peer, CatalogChanges changes) {
    Optional<List<VersionedObject>> complete = peer.collect(changes);
    if (complete.isPresent()) {
      ready = true;
      publish(catalog.merge(complete.get(), changes.getRevision()));
      pull();
    }
  }

  /**
   * Replaces the current catalog, notifies the listener and announces the revision to the peers
   * whose reported revision is lower. A catalog identical to the current one is ignored.
   *
   * @param merged the new catalog, which includes the current one
   */
  private void publish(Catalog merged) {
    if (merged == catalog) {
      return;
    }
    catalog = merged;
    listener.onCatalog(merged);
    Frame frame = CatalogFrames.revision(merged.revision());
    for (CatalogPeer peer : peers.values()) {
      if (peer.revision() < merged.revision()) {
        peer.send(frame);
      }
    }
  }
}
