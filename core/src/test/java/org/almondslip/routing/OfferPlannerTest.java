package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Drain;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Ran;
import org.junit.jupiter.api.Test;

/** Tests {@link OfferPlanner} through the frames of a router. */
class OfferPlannerTest {

  private final RoutingFixture fixture = new RoutingFixture();

  /** Guards against sending too many offers, and against offers to agents without free slots. */
  @Test
  void offersToThreeWithMostFreeSlots() {
    RecordingPeer full = connect("m1", "north", 0);
    RecordingPeer most = connect("m2", "north", 4);
    RecordingPeer some = connect("m3", "north", 2);
    RecordingPeer more = connect("m4", "north", 3);
    fixture.chat(1);
    assertThat(List.of(most, some, more)).allMatch(peer -> waitingAt(peer) == 1);
    assertThat(waitingAt(full)).isZero();
  }

  /** Guards against a request that waits while agents that could run it hold no offer. */
  @Test
  void widensWhileHeadWaits() {
    List<RecordingPeer> peers =
        List.of(
            connect("m1", "north", 1),
            connect("m2", "north", 1),
            connect("m3", "north", 1),
            connect("m4", "north", 1),
            connect("m5", "north", 1));
    fixture.chat(1);
    assertThat(peers.stream().filter(peer -> waitingAt(peer) == 1)).hasSize(3);
    fixture.advanceTime(10);
    assertThat(peers).allMatch(peer -> waitingAt(peer) == 1);
    assertThat(fixture.effects.dialled).as("more connections").containsExactly("belt");
  }

  /**
   * Guards against billed cross-region traffic while the local region may still serve the request.
   */
  @Test
  void spillsToOtherRegionsLate() {
    connect("m1", "north", 1);
    RecordingPeer far = connect("m2", "south", 9);
    fixture.chat(1);
    fixture.advanceTime(40);
    assertThat(waitingAt(far)).isZero();
    fixture.advanceTime(10);
    assertThat(waitingAt(far)).isEqualTo(1);
    assertThat(lastOffer(far).getSpill()).isTrue();
  }

  /** Guards against waiting for the spill time when the local region has no target. */
  @Test
  void offersAtOnceWithoutOwnRegion() {
    RecordingPeer far = connect("m2", "south", 9);
    fixture.chat(1);
    assertThat(waitingAt(far)).isEqualTo(1);
    assertThat(lastOffer(far).getSpill()).isFalse();
  }

  /** Guards against agents that grant slots to requests that no longer wait. */
  @Test
  void withdrawsWhenQueueIsEmpty() {
    RecordingPeer first = connect("m1", "north", 1);
    RecordingPeer second = connect("m2", "north", 1);
    fixture.chat(1);
    fixture.grant(first, "belt", false);
    assertThat(waitingAt(second)).isZero();
    assertThat(second.of(Frame.BodyCase.OFFERS)).hasSize(2);
  }

  /** Guards against offers that are lost with a connection. */
  @Test
  void sendsOffersAgainOnNewConnection() {
    RecordingPeer first = connect("m1", "north", 1);
    fixture.chat(1);
    fixture.router.onPeerClosed(first, false);
    RecordingPeer again = fixture.connect("m1", "north", 1);
    assertThat(waitingAt(again)).isEqualTo(1);
  }

  /** Guards against new requests for an agent that is draining or unhealthy. */
  @Test
  void withdrawsFromLeavingAgents() {
    RecordingPeer draining = connect("m1", "north", 1);
    RecordingPeer sick = connect("m2", "north", 1);
    fixture.chat(1);
    fixture.router.onFrame(
        draining, Frame.newBuilder().setDrain(Drain.getDefaultInstance()).build());
    status(sick, AgentStatus.newBuilder().setHealthy(false));
    assertThat(waitingAt(draining)).isZero();
    assertThat(waitingAt(sick)).isZero();
    assertThat(fixture.grant(sick, "belt", false)).isEmpty();
  }

  /** Guards against one frame for each request of a long queue. */
  @Test
  void refreshesOnlyWhenWaitingDoubles() {
    RecordingPeer agent = connect("m1", "north", 0);
    for (long caller = 1; caller <= 100; caller++) {
      fixture.chat(caller);
    }
    assertThat(agent.of(Frame.BodyCase.OFFERS)).hasSize(7);
    assertThat(waitingAt(agent)).isEqualTo(64);
    fixture.advanceTime(5_200);
    assertThat(waitingAt(agent)).as("after the refresh time").isEqualTo(100);
    fixture.advanceTime(20_000);
    assertThat(agent.of(Frame.BodyCase.OFFERS)).as("nothing new").hasSize(8);
  }

  /**
   * Guards against sending requests to a target that keeps failing, and against full load right
   * after an ejection.
   */
  @Test
  void keepsOffersFromEjectedTarget() {
    RecordingPeer bad = connect("m1", "north", 4);
    fixture.connect("m2", "north", 1);
    for (long caller = 1; caller <= OutlierEjector.FAILURE_THRESHOLD; caller++) {
      fixture.chat(caller);
      Dispatch dispatch = last(fixture.grant(bad, "belt", false));
      AnswerEnd.Builder failed = AnswerEnd.newBuilder().setCode("bad-request").setRan(Ran.UNKNOWN);
      fixture.end(bad, dispatch.getRequestId(), 0, failed.setCode("target-timeout"));
      fixture.router.onCallerGone(caller);
    }
    fixture.chat(50);
    assertThat(waitingAt(bad)).isZero();
    fixture.advanceTime(OutlierEjector.FIRST_EJECTION_MILLIS + 200);
    assertThat(waitingAt(bad)).isEqualTo(1);
    fixture.chat(51);
    fixture.grant(bad, "belt", false);
    assertThat(waitingAt(bad)).as("one at a time").isZero();
  }

  /**
   * Connects an agent that reports free slots.
   *
   * @param target the target
   * @param region the region
   * @param free the free slots
   * @return the connection
   */
  private RecordingPeer connect(String target, String region, int free) {
    RecordingPeer peer = fixture.connect(target, region, 1);
    status(peer, AgentStatus.newBuilder().setHealthy(true).setFreeSlots(free));
    return peer;
  }

  /**
   * Sends a heartbeat of an agent.
   *
   * @param peer the connection
   * @param status the status
   */
  private void status(RecordingPeer peer, AgentStatus.Builder status) {
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setAgent(status);
    fixture.router.onFrame(peer, Frame.newBuilder().setHeartbeat(heartbeat).build());
  }

  /**
   * Returns the last element.
   *
   * @param list the list
   * @return its last element
   */
  private static Dispatch last(List<Dispatch> list) {
    return list.get(list.size() - 1);
  }

  /**
   * Returns the number of waiting requests known to an agent.
   *
   * @param peer the connection
   * @return the number in the last offer
   */
  private static int waitingAt(RecordingPeer peer) {
    return lastOffer(peer).getWaiting();
  }

  /**
   * Returns the state of the flow as the agent knows it.
   *
   * @param peer the connection
   * @return the last offer, dispatch or decline; nothing waiting when there was none
   */
  private static FlowOffer lastOffer(RecordingPeer peer) {
    FlowOffer last = FlowOffer.getDefaultInstance();
    for (Frame frame : peer.sent) {
      if (frame.hasOffers()) {
        last = frame.getOffers().getOffers(0);
      } else if (frame.hasDispatch()) {
        last = frame.getDispatch().getRemaining();
      } else if (frame.hasDecline()) {
        last = frame.getDecline().getRemaining();
      }
    }
    return last;
  }
}
