package org.almondslip.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.almondslip.protocol.wire.Announce;
import org.almondslip.protocol.wire.Drain;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.store.InstanceList;
import org.almondslip.store.StoreResult;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Tests how the instance list, announcements, connections and drain notices are merged. */
class MembershipTest {

  private static final Frame DRAIN = Frame.newBuilder().setDrain(Drain.newBuilder()).build();

  /** Maximum interval between two reads of the list, in milliseconds. */
  private static final long MAX_POLL_INTERVAL_MILLIS = 6_000;

  private Clock.Manual clock;

  private FakeList list;

  private Membership membership;

  /** Number of calls of the listener. */
  private int changes;

  /** Creates a membership without members. */
  @BeforeTry
  void reset() {
    clock = new Clock.Manual(100_000);
    list = new FakeList();
    changes = 0;
    membership =
        new Membership(
            identity("self", 1, "r1"),
            list,
            clock,
            RandomSource.SPLIT_MIX_64.create(1L),
            m -> changes++);
  }

  /** Guards against the removal of an instance that is still connected. */
  @Example
  void instanceThatLeftTheListStaysUsableWhileConnected() {
    list.members.add(member("a1", false));
    poll();
    Peer peer = peer(1, "a1", 5);
    membership.onPeerOpen(peer);
    list.members.clear();
    poll();
    assertThat(membership.isUsable("a1")).isTrue();
    membership.onPeerClosed(peer);
    assertThat(membership.member("a1")).isEmpty();
  }

  /** Guards against new work for an instance that the platform will stop. */
  @Example
  void instanceMarkedLeavingIsNotUsable() {
    list.members.add(member("a1", true));
    poll();
    assertThat(membership.member("a1")).isPresent();
    assertThat(membership.isUsable("a1")).isFalse();
  }

  /**
   * Guards against new work for a draining agent that the lagging list does not mark as leaving.
   */
  @Example
  void drainNoticeCountsUntilTheNextStart() {
    list.members.add(member("a1", false));
    poll();
    Peer peer = peer(1, "a1", 5);
    membership.onPeerOpen(peer);
    membership.onFrame(peer, DRAIN);
    assertThat(membership.isUsable("a1")).isFalse();
    membership.onPeerClosed(peer);
    assertThat(membership.isUsable("a1")).isFalse();
    membership.onPeerOpen(peer(2, "a1", 6));
    assertThat(membership.isUsable("a1")).isTrue();
  }

  /** Guards against a new agent that stays unusable until the lagging list shows it. */
  @Example
  void announcedAgentIsUsableBeforeTheListShowsIt() {
    poll();
    Peer peer = peer(1, "a1", 5);
    membership.onPeerOpen(peer);
    membership.onFrame(peer, announce("a1"));
    membership.onPeerClosed(peer);
    assertThat(membership.usable(Role.AGENT)).extracting(Member::instanceId).containsExactly("a1");
    clock.advance(MemberState.LIST_LAG_MILLIS);
    membership.onTick();
    assertThat(membership.members()).isEmpty();
  }

  /** Guards against a restarted instance that an outdated leaving mark keeps unusable. */
  @Example
  void markOfAnEarlierStartIsIgnoredForTheLag() {
    Peer old = peer(1, "a1", 5);
    membership.onPeerOpen(old);
    list.members.add(member("a1", true));
    poll();
    assertThat(membership.isUsable("a1")).isFalse();
    membership.onPeerClosed(old);
    membership.onPeerOpen(peer(2, "a1", 6));
    assertThat(membership.isUsable("a1")).isTrue();
    clock.advance(MemberState.LIST_LAG_MILLIS);
    membership.onTick();
    assertThat(membership.isUsable("a1")).isFalse();
  }

  /** Guards against an announced address that bypasses the relay between regions. */
  @Example
  void listedAddressStandsBetweenRegions() {
    list.members.add(member("a1", false));
    poll();
    Peer far = new FakePeer(1, identity("a1", 5, "r2"));
    membership.onPeerOpen(far);
    membership.onFrame(far, announce("a1"));
    assertThat(membership.member("a1").orElseThrow().innerAddress()).isEqualTo("listed:1");
    Peer near = peer(2, "a1", 6);
    membership.onPeerOpen(near);
    membership.onFrame(near, announce("a1"));
    assertThat(membership.member("a1").orElseThrow().innerAddress()).isEqualTo("own:1");
  }

  /** Guards against the loss of all members during an outage of the list. */
  @Example
  void outageOfTheListKeepsTheMembers() {
    list.members.add(member("a1", false));
    poll();
    list.failing = true;
    poll();
    assertThat(membership.isUsable("a1")).isTrue();
    assertThat(changes).isEqualTo(1);
  }

  /**
   * Guards against processes that read in lockstep and against reads that stop, over many seeds.
   *
   * @param seed the seed of the jitter
   */
  @Property(tries = 100, seed = "7303")
  void listIsReadAboutEveryFiveSeconds(@ForAll long seed) {
    reset();
    Membership polled =
        new Membership(
            identity("self", 1, "r1"),
            list,
            clock,
            RandomSource.SPLIT_MIX_64.create(seed),
            m -> {});
    for (int i = 0; i < 600; i++) {
      polled.onTick();
      clock.advance(100);
    }
    assertThat(list.reads).isBetween(10, 16);
  }

  /** Guards against a process that treats itself as a peer. */
  @Example
  void ownEntryOnlyTellsWhetherToDrain() {
    list.members.add(member("self", true));
    poll();
    assertThat(membership.isSelfLeaving()).isTrue();
    assertThat(membership.members()).isEmpty();
  }

  /** Guards against a process that omits itself from the election, which yields too few pollers. */
  @Example
  void processCountsItselfAmongThePollers() {
    assertThat(membership.isPoller()).isTrue();
    List<Member> all = new ArrayList<>(List.of(member("self", false)));
    for (int i = 0; i < 40; i++) {
      all.add(member("i" + i, false));
    }
    list.members.addAll(all);
    poll();
    List<String> elected = PollerElection.SMALLEST_HASH.pollers(all, "d1");
    assertThat(membership.isPoller()).isEqualTo(elected.contains("self"));
  }

  /** Advances the clock to the next read of the list. */
  private void poll() {
    clock.advance(MAX_POLL_INTERVAL_MILLIS);
    membership.onTick();
  }

  /**
   * Creates an agent of the instance list.
   *
   * @param id the instance
   * @param leaving whether it is marked leaving
   * @return the member
   */
  private static Member member(String id, boolean leaving) {
    return new Member(id, Role.AGENT, "r1", "d1", "listed:1", "t1", leaving);
  }

  /**
   * Creates an identity.
   *
   * @param id the instance
   * @param incarnation the incarnation
   * @param region the region
   * @return the identity
   */
  private static PeerIdentity identity(String id, long incarnation, String region) {
    return new PeerIdentity(id, incarnation, Role.AGENT, region, "d1", "own:1", "t1");
  }

  /**
   * Creates a connection to an agent in region {@code r1}.
   *
   * @param connection the id of the connection
   * @param id the instance
   * @param incarnation the incarnation
   * @return the connection
   */
  private static Peer peer(long connection, String id, long incarnation) {
    return new FakePeer(connection, identity(id, incarnation, "r1"));
  }

  /**
   * Creates an announcement.
   *
   * @param id the instance
   * @return the frame
   */
  private static Frame announce(String id) {
    return Frame.newBuilder().setAnnounce(Announce.newBuilder().setInstanceId(id)).build();
  }

  /**
   * Connection that fails on any frame sent.
   *
   * @param id the id of the connection
   * @param peer the process at the remote end
   */
  private record FakePeer(long id, PeerIdentity peer) implements Peer {

    @Override
    public void send(Frame frame) {
      throw new AssertionError("the membership sends no frames");
    }
  }

  /** List that responds synchronously. */
  private static final class FakeList implements InstanceList {

    /** Instances in the list. */
    private final List<Member> members = new ArrayList<>();

    /** Whether reads fail. */
    private boolean failing;

    private int reads;

    @Override
    public void list(Consumer<StoreResult<List<Member>>> callback) {
      reads++;
      callback.accept(
          failing
              ? new StoreResult.Unknown<>("down")
              : new StoreResult.Success<>(List.copyOf(members)));
    }
  }
}
