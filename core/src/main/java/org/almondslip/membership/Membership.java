package org.almondslip.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.protocol.wire.Announce;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.InstanceList;
import org.almondslip.store.StoreResult;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Merges the lagging instance list with announcements, open connections and drain notices.
 *
 * <p>All methods must be called on the thread on which the instance list runs its callbacks.
 */
public final class Membership {

  /** Middle of the interval between reads of the instance list, in milliseconds. */
  static final long POLL_MILLIS = 5_000;

  /**
   * Interval at which expired announcements and marks are looked for, in milliseconds. Ticks are
   * more frequent, and each look visits all members.
   */
  private static final long EXPIRY_MILLIS = 1_000;

  /** Largest deviation from the interval, as a fraction. */
  private static final double JITTER = 0.2;

  /** Time after which a read without an answer no longer holds up the next, in milliseconds. */
  private static final long READ_LIMIT_MILLIS = 10_000;

  /** This process. */
  private final PeerIdentity self;

  /** Access to the instance list. */
  private final InstanceList list;

  /** Source of time. */
  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** Receiver of changes. */
  private final Listener listener;

  /** Known instances by their id, this process excluded. */
  private final Map<String, MemberState> states = new HashMap<>();

  /** Members as they were last reported. */
  private Map<String, Member> members = Map.of();

  /** The same members in the order of their ids. */
  private List<Member> sorted = List.of();

  /** Whether this process is marked leaving in the instance list. */
  private boolean selfLeaving;

  /** Whether the instance list has been read at least once. */
  private boolean loaded;

  /** Whether a read is outstanding. */
  private boolean reading;

  /** Time at which expired announcements and marks are looked for next. */
  private long nextExpiry = Long.MIN_VALUE;

  /** Time of the next read. */
  private long nextRead = Long.MIN_VALUE;

  /** Receives changes of the membership. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Members have joined, left or changed.
     *
     * @param membership the new state
     */
    void onMembers(Membership membership);
  }

  /**
   * Creates the state before the first read.
   *
   * @param self this process
   * @param list the access to the instance list
   * @param clock the source of time
   * @param random the source of jitter
   * @param listener the receiver of changes
   */
  public Membership(
      PeerIdentity self,
      InstanceList list,
      Clock clock,
      UniformRandomProvider random,
      Listener listener) {
    this.self = self;
    this.list = list;
    this.clock = clock;
    this.random = random;
    this.listener = listener;
  }

  /** Reads the instance list if it is due and drops what has expired. */
  public void onTick() {
    if (clock.millis() >= nextRead) {
      nextRead = clock.millis() + (reading ? READ_LIMIT_MILLIS : nextInterval());
      reading = true;
      list.list(this::onList);
    }
    if (clock.millis() >= nextExpiry) {
      refresh();
    }
  }

  /**
   * A connection has been opened.
   *
   * @param peer the connection
   */
  public void onPeerOpen(Peer peer) {
    stateOf(peer.peer().instanceId()).onOpen(peer);
    refresh();
  }

  /**
   * A connection has ended.
   *
   * @param peer the connection
   */
  public void onPeerClosed(Peer peer) {
    stateOf(peer.peer().instanceId()).onClosed(peer);
    refresh();
  }

  /**
   * Handles a frame; only announcements and drain notices concern the membership.
   *
   * @param peer the connection
   * @param frame the frame
   */
  public void onFrame(Peer peer, Frame frame) {
    if (frame.hasAnnounce()) {
      onAnnounce(peer.peer(), frame.getAnnounce());
    } else if (frame.hasDrain()) {
      stateOf(peer.peer().instanceId()).onDrain(peer.peer().incarnation());
      refresh();
    }
  }

  /**
   * Returns all members: instances that are in the list, are connected or have announced
   * themselves.
   *
   * @return the members in the order of their ids, with the leaving ones marked; the same object
   *     while nothing has changed
   */
  public List<Member> members() {
    return sorted;
  }

  /**
   * Returns a member.
   *
   * @param instanceId the instance
   * @return the member, or empty when it is not known
   */
  public Optional<Member> member(String instanceId) {
    return Optional.ofNullable(members.get(instanceId));
  }

  /**
   * Returns the members with a role that may get new work.
   *
   * @param role the role
   * @return the members that are not leaving
   */
  public List<Member> usable(Role role) {
    return sorted.stream().filter(member -> member.role() == role && !member.leaving()).toList();
  }

  /**
   * Returns whether an instance may get new work.
   *
   * @param instanceId the instance
   * @return true when it is a member and not leaving
   */
  public boolean isUsable(String instanceId) {
    return member(instanceId).filter(member -> !member.leaving()).isPresent();
  }

  /**
   * Returns whether this process is marked leaving in the instance list.
   *
   * @return true when it should drain
   */
  public boolean isSelfLeaving() {
    return selfLeaving;
  }

  /**
   * Returns whether the instance list has been read at least once.
   *
   * @return true after the first successful read
   */
  public boolean isLoaded() {
    return loaded;
  }

  /**
   * Returns whether this process is one of the catalog's pollers in its data centre.
   *
   * @return true when it is elected
   */
  public boolean isPoller() {
    Collection<Member> all = new ArrayList<>(sorted);
    all.add(toMember(self));
    return PollerElection.SMALLEST_HASH.isPoller(all, toMember(self));
  }

  /**
   * Converts this process. It counts itself, so that a lagging list never leaves a data centre with
   * fewer pollers than wanted.
   *
   * @param identity this process
   * @return the member
   */
  private static Member toMember(PeerIdentity identity) {
    return new Member(
        identity.instanceId(),
        identity.role(),
        identity.region(),
        identity.dataCentre(),
        identity.innerAddress(),
        identity.target(),
        false);
  }

  /**
   * Returns a random interval until the next read.
   *
   * @return the interval in milliseconds
   */
  private long nextInterval() {
    return Math.round(POLL_MILLIS * (1 - JITTER + 2 * JITTER * random.nextDouble()));
  }

  /**
   * Takes over an answer of the instance list. A failure leaves everything as it is.
   *
   * @param result the instances
   */
  private void onList(StoreResult<List<Member>> result) {
    reading = false;
    if (!(result instanceof StoreResult.Success<List<Member>> success)) {
      return;
    }
    loaded = true;
    selfLeaving = false;
    Set<String> listed = new HashSet<>();
    for (Member member : success.value()) {
      if (member.instanceId().equals(self.instanceId())) {
        selfLeaving = member.leaving();
      } else {
        listed.add(member.instanceId());
        stateOf(member.instanceId()).onListed(member, clock.millis());
      }
    }
    for (MemberState state : new ArrayList<>(states.values())) {
      if (!listed.contains(state.instanceId())) {
        state.onUnlisted();
      }
    }
    refresh();
  }

  /**
   * Takes over an announcement.
   *
   * @param from the process that sent it
   * @param announce the announcement
   */
  private void onAnnounce(PeerIdentity from, Announce announce) {
    if (announce.getInstanceId().equals(from.instanceId())) {
      boolean sameRegion = from.region().equals(self.region());
      stateOf(from.instanceId()).onAnnounce(from, sameRegion, clock.millis());
      refresh();
    }
  }

  /**
   * Returns the state of an instance.
   *
   * @param instanceId the instance
   * @return the state, a new one when it was not known
   */
  private MemberState stateOf(String instanceId) {
    return states.computeIfAbsent(instanceId, MemberState::new);
  }

  /** Computes the members and reports them if they have changed. */
  private void refresh() {
    long now = clock.millis();
    nextExpiry = now + EXPIRY_MILLIS;
    states.values().removeIf(state -> state.isGone(now));
    Map<String, Member> current = new HashMap<>();
    for (MemberState state : states.values()) {
      state.toMember(now).ifPresent(member -> current.put(state.instanceId(), member));
    }
    current.remove(self.instanceId());
    if (!current.equals(members)) {
      members = Map.copyOf(current);
      sorted = current.values().stream().sorted(Comparator.comparing(Member::instanceId)).toList();
      listener.onMembers(this);
    }
  }
}
