package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.Frame;

/** What a process knows about the catalog of a peer. */
final class CatalogPeer {

  /** Time that stands for no pull yet. */
  private static final long NEVER = Long.MIN_VALUE;

  /** Connection to the peer. */
  private final Peer peer;

  /** Parts of the changes that the peer has sent so far. */
  private final List<VersionedObject> parts = new ArrayList<>();

  /** Highest revision that the peer is known to have. */
  private long revision;

  /** Revision after which changes were last requested. */
  private long pulledAfter = NEVER;

  /** Time of the last request. */
  private long lastPull = NEVER;

  /** Whether the last request has no answer yet. */
  private boolean pulling;

  /**
   * Creates the state of a new connection.
   *
   * @param peer the connection to the peer
   */
  CatalogPeer(Peer peer) {
    this.peer = peer;
  }

  /**
   * Returns the highest revision that the peer is known to have.
   *
   * @return the revision
   */
  long revision() {
    return revision;
  }

  /**
   * Returns a number that sorts peers with higher revisions first.
   *
   * @return the number
   */
  long newestFirst() {
    return -revision;
  }

  /**
   * Returns the time of the last request, so that a peer that gave no answer is tried last.
   *
   * @return the time, the smallest number when there was none
   */
  long lastPull() {
    return pulling ? lastPull : NEVER;
  }

  /**
   * Returns whether an answer is still expected.
   *
   * @param now the current time
   * @param limit the time limit in milliseconds
   * @return true within the time limit of an unanswered request
   */
  boolean isPulling(long now, long limit) {
    return pulling && now - lastPull < limit;
  }

  /**
   * Notes the revision of the peer.
   *
   * @param known the revision
   */
  void learn(long known) {
    revision = Math.max(revision, known);
  }

  /**
   * Requests changes.
   *
   * @param after the revision after which changes are wanted
   * @param now the current time
   */
  void pull(long after, long now) {
    pulling = true;
    lastPull = now;
    pulledAfter = after;
    parts.clear();
    peer.send(CatalogFrames.pull(after));
  }

  /**
   * Collects a part of the changes.
   *
   * @param changes the part
   * @return all changes, or empty when parts are missing or nothing was requested
   */
  Optional<List<VersionedObject>> collect(CatalogChanges changes) {
    learn(changes.getRevision());
    if (pulledAfter == NEVER) {
      return Optional.empty();
    }
    parts.addAll(CatalogFrames.toStates(changes));
    if (changes.getRevision() <= pulledAfter) {
      return Optional.empty();
    }
    List<VersionedObject> all = List.copyOf(parts);
    parts.clear();
    pulling = false;
    return Optional.of(all);
  }

  /**
   * Queues a frame.
   *
   * @param frame the frame
   */
  void send(Frame frame) {
    peer.send(frame);
  }
}
