package org.almondslip.membership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** What is known about one instance, from all sources. */
final class MemberState {

  /**
   * Time for which an announcement counts although the instance is neither listed nor connected,
   * and for which a list may still show the state before a restart, in milliseconds. The list lags
   * by seconds.
   */
  static final long LIST_LAG_MILLIS = 15_000;

  /** Id of the instance. */
  private final String instanceId;

  /** Open connections by their id. */
  private final Set<Long> connections = new HashSet<>();

  /** Instance as the list shows it. */
  private Optional<Member> listed = Optional.empty();

  /** Process as it last introduced itself by a connection or an announcement. */
  private Optional<PeerIdentity> introduced = Optional.empty();

  /** Whether the introduced address is preferred to the listed one. */
  private boolean preferIntroduced;

  /** Time until which the introduction counts without a connection. */
  private long introducedUntil = Long.MIN_VALUE;

  /** Incarnation that sent a drain notice. */
  private Optional<Long> draining = Optional.empty();

  /** Incarnation that was known when the list began to show the instance as leaving. */
  private Optional<Long> leavingIncarnation = Optional.empty();

  /** Time at which the list began to show the instance as leaving. */
  private long leavingSince = Long.MAX_VALUE;

  /**
   * Creates the state of an unknown instance.
   *
   * @param instanceId the id of the instance
   */
  MemberState(String instanceId) {
    this.instanceId = instanceId;
  }

  /**
   * Returns the id of the instance.
   *
   * @return the id
   */
  String instanceId() {
    return instanceId;
  }

  /**
   * The list shows the instance.
   *
   * @param member the instance
   * @param now the current time
   */
  void onListed(Member member, long now) {
    boolean wasLeaving = listed.filter(Member::leaving).isPresent();
    if (member.leaving() && !wasLeaving) {
      leavingIncarnation = introduced.map(PeerIdentity::incarnation);
      leavingSince = now;
    }
    listed = Optional.of(member);
  }

  /** The list does not show the instance. */
  void onUnlisted() {
    listed = Optional.empty();
  }

  /**
   * A connection has been opened.
   *
   * @param peer the connection
   */
  void onOpen(Peer peer) {
    connections.add(peer.id());
    introduce(peer.peer());
  }

  /**
   * A connection has ended.
   *
   * @param peer the connection
   */
  void onClosed(Peer peer) {
    connections.remove(peer.id());
  }

  /**
   * The process has announced its start.
   *
   * <p>Within a region its address is preferred to the listed one, which may be that of an earlier
   * start. Between regions the listed address stands, since only the list knows which address leads
   * there.
   *
   * @param identity the process
   * @param sameRegion whether it is in the region of this process
   * @param now the current time
   */
  void onAnnounce(PeerIdentity identity, boolean sameRegion, long now) {
    introduce(identity);
    preferIntroduced = sameRegion;
    introducedUntil = now + LIST_LAG_MILLIS;
  }

  /**
   * The process has sent a drain notice.
   *
   * @param incarnation the incarnation that sent it
   */
  void onDrain(long incarnation) {
    draining = Optional.of(Math.max(incarnation, draining.orElse(incarnation)));
  }

  /**
   * Returns whether nothing is known about the instance any more.
   *
   * @param now the current time
   * @return true when the state may be dropped
   */
  boolean isGone(long now) {
    return listed.isEmpty() && connections.isEmpty() && now >= introducedUntil;
  }

  /**
   * Merges all sources.
   *
   * @param now the current time
   * @return the member, or empty when the instance has gone
   */
  Optional<Member> toMember(long now) {
    if (isGone(now)) {
      return Optional.empty();
    }
    boolean leaving = isLeaving(now);
    Optional<Member> own = introduced.map(identity -> ofIdentity(identity, leaving));
    if (listed.isEmpty() || (preferIntroduced && now < introducedUntil)) {
      return own;
    }
    return listed.map(member -> withLeaving(member, leaving));
  }

  /**
   * Notes a process unless a later start of it is known.
   *
   * @param identity the process
   */
  private void introduce(PeerIdentity identity) {
    boolean older =
        introduced
            .filter(known -> Long.compareUnsigned(identity.incarnation(), known.incarnation()) < 0)
            .isPresent();
    if (!older) {
      introduced = Optional.of(identity);
    }
  }

  /**
   * Returns whether the instance gets no new work.
   *
   * <p>A drain notice counts for the incarnation that sent it. A mark in the list that is older
   * than the current incarnation is ignored for as long as the list may lag.
   *
   * @param now the current time
   * @return true when the instance is leaving
   */
  private boolean isLeaving(long now) {
    Optional<Long> current = introduced.map(PeerIdentity::incarnation);
    if (draining.isPresent() && (current.isEmpty() || current.equals(draining))) {
      return true;
    }
    boolean markOfEarlierStart =
        leavingIncarnation.isPresent()
            && !leavingIncarnation.equals(current)
            && now < leavingSince + LIST_LAG_MILLIS;
    return listed.filter(Member::leaving).isPresent() && !markOfEarlierStart;
  }

  /**
   * Converts an introduced process.
   *
   * @param identity the process
   * @param leaving whether it is leaving
   * @return the member
   */
  private static Member ofIdentity(PeerIdentity identity, boolean leaving) {
    return new Member(
        identity.instanceId(),
        identity.role(),
        identity.region(),
        identity.dataCentre(),
        identity.innerAddress(),
        identity.target(),
        leaving);
  }

  /**
   * Marks a listed instance.
   *
   * @param member the instance
   * @param leaving whether it is leaving
   * @return the member
   */
  private static Member withLeaving(Member member, boolean leaving) {
    return new Member(
        member.instanceId(),
        member.role(),
        member.region(),
        member.dataCentre(),
        member.innerAddress(),
        member.target(),
        leaving);
  }
}
