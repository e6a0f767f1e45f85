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
 * Members of the fleet according to the instance list, announcements, connections and drain
 * notices. The latter sources compensate for the lag of the list.
 *
 * <p>Not thread-safe; all methods must be called on the thread that runs the callbacks of the
 * instance list.
 */
public final class Membership {

  /** Mean interval between reads of the instance list, in milliseconds. */
  static final long POLL_INTERVAL_MILLIS = 5_000;

  /**
   * Interval between checks for expired announcements and marks, in milliseconds. A check visits
   * all members, so it does not run on every tick.
   */
  private static final long EXPIRY_CHECK_MILLIS = 1_000;

  /** Maximum deviation from the mean interval, as a fraction. */
  private static final double JITTER_FRACTION = 0.2;

  /** Interval to the next read while the previous one is outstanding, in milliseconds. */
  private static final long PENDING_READ_INTERVAL_MILLIS = 10_000;

  private final PeerIdentity self;

  private final InstanceList list;

  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  private final Listener listener;

  /** States by instance id. */
  private final Map<String, MemberState> states = new HashMap<>();

  /** Members by instance id as last reported to the listener. */
  private Map<String, Member> members = Map.of();

  /** The same members ordered by id. */
  private List<Member> sortedMembers = List.of();

  /** Whether this process is marked leaving in the instance list. */
  private boolean selfLeaving;

  /** Whether the instance list has been read at least once. */
  private boolean loaded;

  /** Whether a read is outstanding. */
  private boolean readPending;

  /** Time of the next check for expired announcements and marks, in milliseconds. */
  private long nextExpiryCheck = Long.MIN_VALUE;

  /** Time of the next read, in milliseconds. */
  private long nextRead = Long.MIN_VALUE;

  /** Listener for changes of the membership. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called when members have joined, left or changed.
     *
     * @param membership the new state
     */
    void onMembers(Membership membership);
  }

  /**
   * Creates a membership without members.
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

  /** Reads the instance list if a read is due and removes expired states. */
  public void onTick() {
    if (clock.millis() >= nextRead) {
      nextRead = clock.millis() + (readPending ? PENDING_READ_INTERVAL_MILLIS : nextInterval());
      readPending = true;
      list.list(this::onList);
    }
    if (clock.millis() >= nextExpiryCheck) {
      refresh();
    }
  }

  /**
   * Handles an opened connection.
   *
   * @param peer the connection
   */
  public void onPeerOpen(Peer peer) {
    stateOf(peer.peer().instanceId()).onOpen(peer);
    refresh();
  }

  /**
   * Handles a closed connection.
   *
   * @param peer the connection
   */
  public void onPeerClosed(Peer peer) {
    stateOf(peer.peer().instanceId()).onClosed(peer);
    refresh();
  }

  /**
   * Handles a frame. Frames other than announcements and drain notices are ignored.
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
   * @return the members ordered by id, including leaving ones; the same list object until a change
   */
  public List<Member> members() {
    return sortedMembers;
  }

  /**
   * Returns a member.
   *
   * @param instanceId the instance
   * @return the member, or empty if the instance is unknown
   */
  public Optional<Member> member(String instanceId) {
    return Optional.ofNullable(members.get(instanceId));
  }

  /**
   * Returns the members with a role that may get new work.
   *
   * @param role the role
   * @return the members that are not leaving, ordered by id
   */
  public List<Member> usable(Role role) {
    return sortedMembers.stream()
        .filter(member -> member.role() == role && !member.leaving())
        .toList();
  }

  /**
   * Returns whether an instance may get new work.
   *
   * @param instanceId the instance
   * @return true if it is a member and not leaving
   */
  public boolean isUsable(String instanceId) {
    return member(instanceId).filter(member -> !member.leaving()).isPresent();
  }

  /**
   * Returns whether this process is marked leaving in the instance list.
   *
   * @return true if it should drain
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
   * Returns whether this process is an elected poller of its data centre. It takes part in the
   * election even if the list does not show it yet, so that a lagging list never leaves a data
   * centre with too few pollers.
   *
   * @return true if it is elected
   */
  public boolean isPoller() {
    Collection<Member> all = new ArrayList<>(sortedMembers);
    all.add(toMember(self));
    return PollerElection.SMALLEST_HASH.isPoller(all, toMember(self));
  }

  /**
   * Converts the identity of this process to a member that is not leaving.
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
    return Math.round(
        POLL_INTERVAL_MILLIS * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble()));
  }

  /**
   * Handles the result of a read of the instance list. A failure leaves the membership unchanged.
   *
   * @param result the result
   */
  private void onList(StoreResult<List<Member>> result) {
    readPending = false;
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
   * Handles an announcement. One whose instance id differs from that of the sender is ignored.
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
   * @return the state, a new one if the instance was unknown
   */
  private MemberState stateOf(String instanceId) {
    return states.computeIfAbsent(instanceId, MemberState::new);
  }

  /** Recomputes the members and notifies the listener if they have changed. */
  private void refresh() {
    long now = clock.millis();
    nextExpiryCheck = now + EXPIRY_CHECK_MILLIS;
    states.values().removeIf(state -> state.isExpired(now));
    Map<String, Member> current = new HashMap<>();
    for (MemberState state : states.values()) {
      state.toMember(now).ifPresent(member -> current.put(state.instanceId(), member));
    }
    current.remove(self.instanceId());
    if (!current.equals(members)) {
      members = Map.copyOf(current);
      sortedMembers =
          current.values().stream().sorted(Comparator.comparing(Member::instanceId)).toList();
      listener.onMembers(this);
    }
  }
}
