package org.almondslip.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.quarantine.SuspectRegistry.Verdict;

/** Crash marks of requests, spread to all connected peers. */
final class SuspectBroadcaster {

  /** Number of a connection that does not exist, for notices of this process. */
  private static final long NO_SOURCE = -1;

  /** Marks as this process knows them. */
  private final SuspectRegistry registry;

  /** Effects. */
  private final RouterEffects effects;

  /** Connected peers by the number of the connection. */
  private final Map<Long, Peer> peers = new LinkedHashMap<>();

  /**
   * Creates the marks of a process without peers.
   *
   * @param registry the marks as this process knows them
   * @param effects the effects
   */
  SuspectBroadcaster(SuspectRegistry registry, RouterEffects effects) {
    this.registry = registry;
    this.effects = effects;
  }

  /**
   * Adds a peer and tells it all marks, since it may have started after they were spread.
   *
   * @param peer the connection
   */
  void addPeer(Peer peer) {
    peers.put(peer.id(), peer);
    registry.crashRecords().forEach(mark -> peer.send(toFrame(mark)));
  }

  /**
   * Removes a peer.
   *
   * @param peer the connection
   */
  void removePeer(Peer peer) {
    peers.remove(peer.id());
  }

  /**
   * Returns what may be done with a request.
   *
   * @param fingerprint the fingerprint of the request
   * @return the verdict
   */
  Verdict verdict(long fingerprint) {
    return registry.verdict(fingerprint);
  }

  /**
   * Takes a notice of a peer and passes it on when it is new.
   *
   * @param source the peer
   * @param notice the notice
   */
  void onNotice(Peer source, SuspectNotice notice) {
    if (apply(notice)) {
      broadcast(notice, source.id());
      if (source.peer().role() == Role.AGENT) {
        // An agent has no part in the table of marks, so that the mark outlives it only here.
        effects.recordSuspect(notice);
      }
    }
  }

  /**
   * Takes marks from durable storage, which peers know already.
   *
   * @param notices the marks
   */
  void onStored(List<SuspectNotice> notices) {
    notices.forEach(this::apply);
  }

  /**
   * Marks a request that was in flight at an agent that was lost.
   *
   * @param fingerprint the fingerprint of the request
   * @param agent the agent
   */
  void onCrash(long fingerprint, PeerIdentity agent) {
    String crashId = agent.target() + "@" + Long.toUnsignedString(agent.incarnation());
    report(SuspectNotice.newBuilder().setFingerprint(fingerprint).setCrashId(crashId).build());
  }

  /**
   * Clears a suspected request that has run to its end.
   *
   * @param fingerprint the fingerprint of the request
   */
  void onSuccess(long fingerprint) {
    if (registry.verdict(fingerprint) == Verdict.SUSPECT) {
      report(SuspectNotice.newBuilder().setFingerprint(fingerprint).setCleared(true).build());
    }
  }

  /**
   * Applies a notice of this process and spreads it when it is new.
   *
   * @param notice the notice
   */
  private void report(SuspectNotice notice) {
    if (apply(notice)) {
      effects.recordSuspect(notice);
      broadcast(notice, NO_SOURCE);
    }
  }

  /**
   * Applies a notice.
   *
   * @param notice the notice
   * @return true when it is new
   */
  private boolean apply(SuspectNotice notice) {
    return notice.getCleared()
        ? registry.clear(notice.getFingerprint())
        : registry.recordCrash(notice.getFingerprint(), notice.getCrashId());
  }

  /**
   * Sends a notice to all peers but one.
   *
   * @param notice the notice
   * @param exceptId the number of the connection that is left out
   */
  private void broadcast(SuspectNotice notice, long exceptId) {
    Frame frame = Frame.newBuilder().setSuspectNotice(notice).build();
    for (Peer peer : peers.values()) {
      if (peer.id() != exceptId) {
        peer.send(frame);
      }
    }
  }

  /**
   * Builds the frame of a mark.
   *
   * @param mark the mark
   * @return the frame
   */
  private static Frame toFrame(SuspectRegistry.CrashRecord mark) {
    return Frame.newBuilder()
        .setSuspectNotice(
            SuspectNotice.newBuilder()
                .setFingerprint(mark.fingerprint())
                .setCrashId(mark.crashId()))
        .build();
  }
}
