package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.Frame;

/** Replication state of the catalog for one peer connection. */
final class CatalogPeer {

  /** Marks a revision or time that is not set. */
  private static final long NEVER = Long.MIN_VALUE;

  private final Peer peer;

  /** Objects received so far in response to the last request. */
  private final List<VersionedObject> received = new ArrayList<>();

  /** Highest revision that the peer has reported. */
  private long revision;

  /** Revision after which changes were last requested, or {@link #NEVER}. */
  private long pulledAfter = NEVER;

  /** Clock time of the last request in milliseconds, or {@link #NEVER}. */
  private long lastPull = NEVER;

  /** Whether the response to the last request is incomplete. */
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
   * Returns the highest revision that the peer has reported.
   *
   * @return the revision, 0 if none has been reported
   */
  long revision() {
    return revision;
  }

  /**
   * Returns a sort key that orders peers by descending revision.
   *
   * @return the negated revision
   */
  long descendingRevision() {
    return -revision;
  }

  /**
   * Returns the time of an unanswered request. Sorting peers by it tries unresponsive peers last.
   *
   * @return the clock time in milliseconds, or {@link Long#MIN_VALUE} if no request is unanswered
   */
  long lastPull() {
    return pulling ? lastPull : NEVER;
  }

  /**
   * Returns whether a request is unanswered and has not timed out.
   *
   * @param now the current clock time in milliseconds
   * @param timeout the timeout in milliseconds
   * @return true if a response is still expected
   */
  boolean isPulling(long now, long timeout) {
    return pulling && now - lastPull < timeout;
  }

  /**
   * Records a revision that the peer has reported.
   *
   * @param reported the reported revision
   */
  void updateRevision(long reported) {
    revision = Math.max(revision, reported);
  }

  /**
   * Requests changes from the peer and discards an incomplete earlier response.
   *
   * @param after the revision after which changes are requested
   * @param now the current clock time in milliseconds
   */
  void pull(long after, long now) {
    pulling = true;
    lastPull = now;
    pulledAfter = after;
    received.clear();
    peer.send(CatalogFrames.pull(after));
  }

  /**
   * Adds a frame of a response and returns the changes once the response is complete.
   *
   * @param changes the frame
   * @return all changes, or empty if frames are missing or nothing was requested
   */
  Optional<List<VersionedObject>> collect(CatalogChanges changes) {
    updateRevision(changes.getRevision());
    if (pulledAfter == NEVER) {
      return Optional.empty();
    }
    received.addAll(CatalogFrames.toStates(changes));
    if (changes.getRevision() <= pulledAfter) {
      return Optional.empty();
    }
    List<VersionedObject> all = List.copyOf(received);
    received.clear();
    pulling = false;
    return Optional.of(all);
  }

  /**
   * Sends a frame to the peer.
   *
   * @param frame the frame to send
   */
  void send(Frame frame) {
    peer.send(frame);
  }
}
