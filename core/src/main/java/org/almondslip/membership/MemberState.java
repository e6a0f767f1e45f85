package org.almondslip.membership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** State of an instance, merged from the instance list, announcements, connections and drains. */
final class MemberState {

  /**
   * Assumed maximum lag of the instance list, which is out of date by seconds, in milliseconds. For
   * this time, an announcement keeps an instance that is neither listed nor connected, and the list
   * may still show the state before a restart.
   */
  static final long LIST_LAG_MILLIS = 15_000;

  private final String instanceId;

  /** Ids of the open connections. */
  private final Set<Long> connections = new HashSet<>();

  /** Entry of the instance list. */
  private Optional<Member> listed = Optional.empty();

  /** Identity of the latest incarnation that has connected or announced itself. */
  private Optional<PeerIdentity> lastIdentity = Optional.empty();

  /** Whether the announced address takes precedence over the listed one. */
  private boolean preferAnnouncedAddress;

  /** Time until which an announcement is valid without a connection, in milliseconds. */
  private long announcedUntil = Long.MIN_VALUE;

  /** Latest incarnation that has sent a drain notice. */
  private Optional<Long> drainingIncarnation = Optional.empty();

  /** Incarnation that was known when the list first marked the instance as leaving. */
  private Optional<Long> leavingIncarnation = Optional.empty();

  /** Time at which the list first marked the instance as leaving, in milliseconds. */
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
   * Handles an entry of the instance list.
   *
   * @param member the instance
   * @param now the current time
   */
  void onListed(Member member, long now) {
    boolean wasLeaving = listed.filter(Member::leaving).isPresent();
    if (member.leaving() && !wasLeaving) {
      leavingIncarnation = lastIdentity.map(PeerIdentity::incarnation);
      leavingSince = now;
    }
    listed = Optional.of(member);
  }

  /** Handles an instance list without this instance. */
  void onUnlisted() {
    listed = Optional.empty();
  }

  /**
   * Handles an opened connection.
   *
   * @param peer the connection
   */
  void onOpen(Peer peer) {
    connections.add(peer.id());
    updateIdentity(peer.peer());
  }

  /**
   * Handles a closed connection.
   *
   * @param peer the connection
   */
  void onClosed(Peer peer) {
    connections.remove(peer.id());
  }

  /**
   * Handles the announcement of a started process.
   *
   * <p>Within a region the announced address takes precedence over the listed one, which may belong
   * to an earlier incarnation. Between regions the listed address is used because only the list
   * contains an address that is reachable from other regions.
   *
   * @param identity the process
   * @param sameRegion whether the process is in the region of this process
   * @param now the current time
   */
  void onAnnounce(PeerIdentity identity, boolean sameRegion, long now) {
    updateIdentity(identity);
    preferAnnouncedAddress = sameRegion;
    announcedUntil = now + LIST_LAG_MILLIS;
  }

  /**
   * Handles a drain notice.
   *
   * @param incarnation the incarnation that sent it
   */
  void onDrain(long incarnation) {
    drainingIncarnation =
        Optional.of(Math.max(incarnation, drainingIncarnation.orElse(incarnation)));
  }

  /**
   * Returns whether the instance is neither listed nor connected and has no valid announcement.
   *
   * @param now the current time
   * @return true if the state may be removed
   */
  boolean isExpired(long now) {
    return listed.isEmpty() && connections.isEmpty() && now >= announcedUntil;
  }

  /**
   * Returns the member according to all sources.
   *
   * @param now the current time
   * @return the member, or empty if the state has expired
   */
  Optional<Member> toMember(long now) {
    if (isExpired(now)) {
      return Optional.empty();
    }
    boolean leaving = isLeaving(now);
    Optional<Member> own = lastIdentity.map(identity -> ofIdentity(identity, leaving));
    if (listed.isEmpty() || (preferAnnouncedAddress && now < announcedUntil)) {
      return own;
    }
    return listed.map(member -> withLeaving(member, leaving));
  }

  /**
   * Stores the identity unless a later incarnation is known.
   *
   * @param identity the process
   */
  private void updateIdentity(PeerIdentity identity) {
    boolean older =
        lastIdentity
            .filter(known -> Long.compareUnsigned(identity.incarnation(), known.incarnation()) < 0)
            .isPresent();
    if (!older) {
      lastIdentity = Optional.of(identity);
    }
  }

  /**
   * Returns whether the instance is leaving and must not get new work.
   *
   * <p>A drain notice applies only to the incarnation that sent it. A mark in the list that was set
   * for an earlier incarnation is ignored while the list may be out of date.
   *
   * @param now the current time
   * @return true if the instance is leaving
   */
  private boolean isLeaving(long now) {
    Optional<Long> current = lastIdentity.map(PeerIdentity::incarnation);
    if (drainingIncarnation.isPresent()
        && (current.isEmpty() || current.equals(drainingIncarnation))) {
      return true;
    }
    boolean markOfEarlierIncarnation =
        leavingIncarnation.isPresent()
            && !leavingIncarnation.equals(current)
            && now < leavingSince + LIST_LAG_MILLIS;
    return listed.filter(Member::leaving).isPresent() && !markOfEarlierIncarnation;
  }

  /**
   * Converts an identity to a member.
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
   * Returns a copy of a listed instance with another leaving mark.
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
