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

/** Crash records of requests, broadcast to all connected peers. */
final class SuspectBroadcaster {

  /** Connection id that no peer has, for notices that originate in this process. */
  private static final long NO_SOURCE = -1;

  /** Crash records known to this process. */
  private final SuspectRegistry registry;

  private final RouterEffects effects;

  /** Connected peers by connection id. */
  private final Map<Long, Peer> peers = new LinkedHashMap<>();

  SuspectBroadcaster(SuspectRegistry registry, RouterEffects effects) {
    this.registry = registry;
    this.effects = effects;
  }

  /**
   * Adds a peer and sends it all crash records, since it may have started after they were
   * broadcast.
   *
   * @param peer the connection
   */
  void addPeer(Peer peer) {
    peers.put(peer.id(), peer);
    registry.crashRecords().forEach(crashRecord -> peer.send(toFrame(crashRecord)));
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
   * Returns the verdict on a request.
   *
   * @param fingerprint the fingerprint of the request
   * @return the verdict
   */
  Verdict verdict(long fingerprint) {
    return registry.verdict(fingerprint);
  }

  /**
   * Applies a notice of a peer and forwards it to the other peers if it is new.
   *
   * @param source the peer
   * @param notice the notice
   */
  void onNotice(Peer source, SuspectNotice notice) {
    if (apply(notice)) {
      broadcast(notice, source.id());
      if (source.peer().role() == Role.AGENT) {
        // Agents do not write to the durable store, so the router has to store the notice for them.
        effects.recordSuspect(notice);
      }
    }
  }

  /**
   * Applies crash records from durable storage. They are not broadcast, since peers know them
   * already.
   *
   * @param notices the crash records
   */
  void onStored(List<SuspectNotice> notices) {
    notices.forEach(this::apply);
  }

  /**
   * Records a crash for a request that was in flight at a lost agent.
   *
   * @param fingerprint the fingerprint of the request
   * @param agent the agent
   */
  void onCrash(long fingerprint, PeerIdentity agent) {
    String crashId = agent.target() + "@" + Long.toUnsignedString(agent.incarnation());
    report(SuspectNotice.newBuilder().setFingerprint(fingerprint).setCrashId(crashId).build());
  }

  /**
   * Clears a suspect request that has completed.
   *
   * @param fingerprint the fingerprint of the request
   */
  void onSuccess(long fingerprint) {
    if (registry.verdict(fingerprint) == Verdict.SUSPECT) {
      report(SuspectNotice.newBuilder().setFingerprint(fingerprint).setCleared(true).build());
    }
  }

  /**
   * Applies a notice of this process, and stores and broadcasts it if it is new.
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
   * Sends a notice to all peers except one.
   *
   * @param notice the notice
   * @param exceptId the id of the excluded connection
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
   * Builds the frame of a crash record.
   *
   * @param crashRecord the crash record
   * @return the frame
   */
  private static Frame toFrame(SuspectRegistry.CrashRecord crashRecord) {
    return Frame.newBuilder()
        .setSuspectNotice(
            SuspectNotice.newBuilder()
                .setFingerprint(crashRecord.fingerprint())
                .setCrashId(crashRecord.crashId()))
        .build();
  }
}
