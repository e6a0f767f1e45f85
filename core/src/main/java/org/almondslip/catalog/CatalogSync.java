package org.almondslip.catalog;

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
 * Keeps the catalog of a process current, from the table service and from peers.
 *
 * <p>All methods but {@link #catalog} and {@link #isReady} must be called on the thread on which
 * the table store runs its callbacks.
 */
public final class CatalogSync {

  /** Interval at which elected pollers read the revision, in milliseconds. */
  static final long POLLER_MILLIS = 1_000;

  /** Middle of the interval at which all other processes read it, in milliseconds. */
  static final long OTHERS_MILLIS = 30_000;

  /** Largest deviation from the interval of the others, as a fraction. */
  private static final double JITTER = 0.2;

  /** Time after which a read without an answer no longer holds up the next, in milliseconds. */
  private static final long READ_LIMIT_MILLIS = 10_000;

  /**
   * Time after which changes are pulled from another peer, in milliseconds. A few peers with silent
   * connections may be tried in turn within the 4 s that a change may take.
   */
  static final long PULL_LIMIT_MILLIS = 300;

  /** Reader of the table service. */
  private final CatalogLoader loader;

  /** Source of time. */
  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** Whether this process is an elected poller. */
  private final BooleanSupplier poller;

  /** Receiver of new catalogs. */
  private final Listener listener;

  /** Open connections by their id. */
  private final Map<Long, CatalogPeer> peers = new HashMap<>();

  /** Newest catalog. */
  private volatile Catalog catalog = Catalog.EMPTY;

  /** Highest revision that any peer has reported. */
  private long highestKnown;

  /** Whether the catalog has been read from the table service or a peer. */
  private volatile boolean ready;

  /** Time of the last read, empty before the first. */
  private Optional<Long> lastRead = Optional.empty();

  /** Number of the outstanding read; answers to earlier ones are only merged. */
  private long readNumber;

  /** Whether a read is outstanding. */
  private boolean reading;

  /** Whether the table service has changed since the outstanding read began. */
  private boolean readAgain;

  /** Interval until the next read while this process is no poller, in milliseconds. */
  private long othersInterval;

  /** Receives new catalogs. */
  @FunctionalInterface
  public interface Listener {

    /**
     * The catalog has changed.
     *
     * @param catalog the new catalog
     */
    void onCatalog(Catalog catalog);
  }

  /**
   * Creates the state before the first read.
   *
   * @param store the access to the table service
   * @param clock the source of time
   * @param random the source of jitter
   * @param poller whether this process is an elected poller
   * @param listener the receiver of new catalogs
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
    this.othersInterval = nextInterval();
  }

  /**
   * Returns the newest catalog. It may be called on any thread.
   *
   * @return the catalog
   */
  public Catalog catalog() {
    return catalog;
  }

  /**
   * Returns whether the catalog has been read from the table service or a peer. It may be called on
   * any thread.
   *
   * @return true once the process may take work
   */
  public boolean isReady() {
    return ready;
  }

  /** Reads the revision if it is due and replaces pulls without an answer. */
  public void onTick() {
    if (isReadDue()) {
      read();
    }
    pull();
  }

  /** The table service has changed, for instance by a ticket that this process applied. */
  public void onStoreChanged() {
    if (reading) {
      readAgain = true;
    } else {
      read();
    }
  }

  /**
   * This process has applied a ticket. Its changes are announced without another read, so that they
   * spread even when the table service fails right after the write.
   *
   * @param applied the catalog after the ticket
   */
  void onApplied(Catalog applied) {
    ready = true;
    publish(include(applied));
  }

  /**
   * A connection has been opened.
   *
   * @param peer the connection
   */
  public void onPeerOpen(Peer peer) {
    peers.put(peer.id(), new CatalogPeer(peer));
    peer.send(CatalogFrames.revision(catalog.revision()));
  }

  /**
   * A connection has ended.
   *
   * @param peer the connection
   */
  public void onPeerClosed(Peer peer) {
    peers.remove(peer.id());
    pull();
  }

  /**
   * Handles a frame; frames that do not concern the catalog are ignored.
   *
   * @param from the connection
   * @param frame the frame
   */
  public void onFrame(Peer from, Frame frame) {
    CatalogPeer peer = peers.get(from.id());
    if (peer == null) {
      return;
    }
    switch (frame.getBodyCase()) {
      case HEARTBEAT -> learn(peer, frame.getHeartbeat().getCatalogRevision());
      case CATALOG_REVISION -> learn(peer, frame.getCatalogRevision().getRevision());
      case CATALOG_PULL -> answer(peer, frame.getCatalogPull().getAfterRevision());
      case CATALOG_CHANGES -> onChanges(peer, frame.getCatalogChanges());
      default -> {
        // Other frames have their own receivers.
      }
    }
  }

  /**
   * Returns whether the next read is due. A process without connections hears no announcements, so
   * it reads as often as a poller.
   *
   * @return true when the interval has passed
   */
  private boolean isReadDue() {
    if (lastRead.isEmpty()) {
      return true;
    }
    long since = clock.millis() - lastRead.get();
    if (reading) {
      return since >= READ_LIMIT_MILLIS;
    }
    boolean frequent = !ready || peers.isEmpty() || poller.getAsBoolean();
    return since >= (frequent ? POLLER_MILLIS : othersInterval);
  }

  /**
   * Returns a random interval for processes that are no pollers.
   *
   * @return the interval in milliseconds
   */
  private long nextInterval() {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    return Math.round(OTHERS_MILLIS * factor);
  }

  /** Starts a read of the table service. */
  private void read() {
    lastRead = Optional.of(clock.millis());
    othersInterval = nextInterval();
    reading = true;
    readAgain = false;
    long number = ++readNumber;
    loader.load(catalog, result -> onRead(number, result));
  }

  /**
   * Handles the answer of the table service.
   *
   * @param number the number of the read
   * @param result the catalog
   */
  private void onRead(long number, StoreResult<CatalogLoader.Loaded> result) {
    boolean again = number == readNumber && readAgain;
    reading = reading && number != readNumber;
    if (result instanceof StoreResult.Success<CatalogLoader.Loaded> success) {
      ready = true;
      publish(include(success.value().catalog()));
    }
    if (again) {
      read();
    }
  }

  /**
   * Adds what another complete catalog has and the current one lacks.
   *
   * @param other the other catalog
   * @return the current catalog with the changes
   */
  private Catalog include(Catalog other) {
    return catalog.merge(other.changedAfter(catalog.revision()), other.revision());
  }

  /**
   * Notes the revision of a peer and pulls if it is higher.
   *
   * @param peer the peer
   * @param revision its revision
   */
  private void learn(CatalogPeer peer, long revision) {
    peer.learn(revision);
    highestKnown = Math.max(highestKnown, revision);
    pull();
  }

  /**
   * Pulls from the best peer with a higher revision, unless a pull is outstanding. Called for each
   * heartbeat, so the usual case without anything to pull must not look at all peers.
   */
  private void pull() {
    if (highestKnown <= catalog.revision()) {
      return;
    }
    long now = clock.millis();
    boolean outstanding =
        peers.values().stream().anyMatch(peer -> peer.isPulling(now, PULL_LIMIT_MILLIS));
    if (!outstanding) {
      peers.values().stream()
          .filter(peer -> peer.revision() > catalog.revision())
          .min(Comparator.comparing(CatalogPeer::lastPull).thenComparing(CatalogPeer::newestFirst))
          .ifPresent(peer -> peer.pull(catalog.revision(), now));
    }
  }

  /**
   * Answers a request for changes.
   *
   * @param peer the peer
   * @param after the revision after which changes are wanted
   */
  private void answer(CatalogPeer peer, long after) {
    if (catalog.revision() > after) {
      CatalogFrames.changes(catalog, after).forEach(peer::send);
    } else {
      peer.send(CatalogFrames.revision(catalog.revision()));
    }
  }

  /**
   * Takes over changes from a peer once the last part has arrived.
   *
   * @param peer the peer
   * @param changes a part of the changes
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
   * Makes a catalog the current one and announces it to the peers that do not have it yet.
   *
   * @param merged the catalog, which includes the current one
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
