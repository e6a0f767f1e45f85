package org.almondslip.execution;

import java.util.Collection;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.quarantine.SuspectRegistry.Verdict;

/** Records the requests that were in flight when the target crashed and notifies all peers. */
final class CrashWatch {

  private final PeerIdentity self;

  private final SuspectRegistry suspects;

  private final Peers peers;

  private final ExecutionCounters counters;

  private final TargetHealth health;

  /** Crashes of the target that this incarnation of the agent has seen. */
  private long crashes;

  /**
   * Creates a monitor for a target that has not been probed.
   *
   * @param self this agent
   * @param suspects the crash records known to this process
   * @param peers the open connections
   * @param counters the counters of the agent
   * @param health the health of the target
   */
  CrashWatch(
      PeerIdentity self,
      SuspectRegistry suspects,
      Peers peers,
      ExecutionCounters counters,
      TargetHealth health) {
    this.self = self;
    this.suspects = suspects;
    this.peers = peers;
    this.counters = counters;
    this.health = health;
  }

  /**
   * Handles the result of a probe.
   *
   * @param answered whether the target answered
   * @param now the current time, in milliseconds
   */
  void onProbe(boolean answered, long now) {
    Collection<Long> inFlight = health.onProbe(answered, now);
    if (inFlight.isEmpty()) {
      return;
    }
    crashes++;
    counters.add(ExecutionCounters.Count.CRASHES, 1);
    String crashId = crashId(self, crashes);
    for (long fingerprint : inFlight) {
      suspects.recordCrash(fingerprint, crashId);
      peers.broadcast(notice(fingerprint, crashId));
    }
  }

  /**
   * Sends all crash records to a new peer, which may have started after they were broadcast.
   *
   * @param peer the connection
   */
  void onOpen(Peer peer) {
    suspects.crashRecords().forEach(mark -> peer.send(notice(mark.fingerprint(), mark.crashId())));
  }

  /**
   * Handles a notice and forwards it to the other peers if it is new.
   *
   * @param from the sender
   * @param notice the notice
   */
  void onNotice(Peer from, SuspectNotice notice) {
    boolean changed =
        notice.getCleared()
            ? suspects.clear(notice.getFingerprint())
            : suspects.recordCrash(notice.getFingerprint(), notice.getCrashId());
    if (changed) {
      peers.broadcastExcept(Frame.newBuilder().setSuspectNotice(notice).build(), from.id());
    }
  }

  /**
   * Clears the crash records of a request that has completed while running exclusively.
   *
   * @param fingerprint the fingerprint of the request
   */
  void clear(long fingerprint) {
    suspects.clear(fingerprint);
    SuspectNotice.Builder cleared =
        SuspectNotice.newBuilder().setFingerprint(fingerprint).setCleared(true);
    peers.broadcast(Frame.newBuilder().setSuspectNotice(cleared).build());
  }

  /**
   * Returns whether a request may run, must run exclusively or is refused.
   *
   * @param fingerprint the fingerprint of the request
   * @return the verdict
   */
  Verdict verdict(long fingerprint) {
    return suspects.verdict(fingerprint);
  }

  /**
   * Returns the health of the target.
   *
   * @return the health of the target
   */
  TargetHealth health() {
    return health;
  }

  /**
   * Builds the identifier of a crash, which is the same for every observer of that crash.
   *
   * @param agent the agent beside the target
   * @param number the number of the crash in this incarnation of the agent
   * @return the identifier
   */
  static String crashId(PeerIdentity agent, long number) {
    return agent.target() + "@" + Long.toUnsignedString(agent.incarnation()) + "#" + number;
  }

  /**
   * Builds a notice.
   *
   * @param fingerprint the fingerprint of the request
   * @param crashId the identifier of the crash
   * @return the frame
   */
  private static Frame notice(long fingerprint, String crashId) {
    return Frame.newBuilder()
        .setSuspectNotice(
            SuspectNotice.newBuilder().setFingerprint(fingerprint).setCrashId(crashId))
        .build();
  }
}
