package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.protocol.wire.SuspectNotice;
import org.junit.jupiter.api.Test;

/** Tests {@link RouterLogic} with manually built frames. */
class RouterLogicTest {

  /** Media type of streams. */
  private static final String EVENTS = "text/event-stream";

  private final RoutingFixture fixture = new RoutingFixture();

  /** Guards against failures on the path of a single request. */
  @Test
  void servesRequest() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    assertThat(agent.of(Frame.BodyCase.OFFERS)).hasSize(1);
    Dispatch dispatch = fixture.grant(agent, "belt", false).get(0);
    assertThat(dispatch.getRequestId().getRouterIncarnation()).isEqualTo(77);
    assertThat(dispatch.getRemaining().getWaiting()).isZero();
    fixture.head(agent, dispatch.getRequestId(), EVENTS);
    fixture.data(agent, dispatch.getRequestId(), 1, "data: a\n\n");
    fixture.end(agent, dispatch.getRequestId(), 2, complete());
    assertThat(fixture.effects.of(1).status).isEqualTo(200);
    assertThat(fixture.effects.of(1).body.toStringUtf8()).isEqualTo("data: a\n\n");
    assertThat(fixture.effects.of(1).ends).containsExactly(Outcome.COMPLETE);
    assertThat(agent.of(Frame.BodyCase.ANSWER_ACK)).hasSize(1);
  }

  /**
   * Guards against an agent that receives no requests because its announcement connection arrived
   * after the dialled one.
   */
  @Test
  void keepsAgentAfterItsAnnouncementHasClosed() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    RecordingPeer announcement = fixture.connect("m1", "north", 5);
    fixture.router.onPeerClosed(announcement, true);
    fixture.chat(1);
    assertThat(agent.of(Frame.BodyCase.OFFERS)).isNotEmpty();
    assertThat(fixture.grant(agent, "belt", false)).hasSize(1);
  }

  /** Guards against a slot that stays reserved for a request that no longer waits. */
  @Test
  void declinesGrantWithoutRequest() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    fixture.router.onCallerGone(1);
    assertThat(fixture.grant(agent, "belt", false)).isEmpty();
    assertThat(agent.of(Frame.BodyCase.DECLINE)).hasSize(1);
    assertThat(fixture.effects.of(1).ends).isEmpty();
  }

  /** Guards against duplicate or missing bytes when frames arrive twice or out of order. */
  @Test
  void dropsRepeatedAndEarlyParts() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    RequestId id = fixture.grant(agent, "belt", false).get(0).getRequestId();
    fixture.head(agent, id, EVENTS);
    fixture.data(agent, id, 2, "data: b\n\n");
    assertThat(agent.of(Frame.BodyCase.ATTACH)).hasSize(1);
    fixture.data(agent, id, 1, "data: a\n\n");
    fixture.data(agent, id, 1, "data: a\n\n");
    fixture.data(agent, id, 2, "data: b\n\n");
    assertThat(fixture.effects.of(1).body.toStringUtf8()).isEqualTo("data: a\n\ndata: b\n\n");
    assertThat(fixture.router.stats().events())
        .containsEntry("repeated_answer", 1L)
        .containsEntry("early_answer", 1L);
  }

  /** Guards against a status that means nothing, which an agent passes on. */
  @Test
  void statusOfAnswerMustBeFinal() {
    long caller = 0;
    for (int status : new int[] {0, 99, 101, 199, 600, 999}) {
      RecordingPeer agent = fixture.connect("s1", "north", 5);
      fixture.order(++caller);
      RequestId id = fixture.grant(agent, "orders", false).get(0).getRequestId();
      fixture.head(agent, id, status);
      assertThat(fixture.effects.of(caller).status).as("status %d", status).isZero();
      assertThat(fixture.effects.of(caller).ends).hasSize(1);
      assertThat(fixture.effects.of(caller).ends).doesNotContain(Outcome.COMPLETE);
      assertThat(agent.of(Frame.BodyCase.CANCEL)).hasSize(1);
      fixture.router.onPeerClosed(agent, true);
    }
  }

  /** Guards against a lost answer when only the connection is lost. */
  @Test
  void reattachesAfterLostConnection() {
    RecordingPeer agent = fixture.connect("s1", "north", 5);
    fixture.order(1);
    RequestId id = fixture.grant(agent, "orders", false).get(0).getRequestId();
    fixture.head(agent, id, "text/plain");
    fixture.router.onPeerClosed(agent, false);
    fixture.advanceTime(9_000);
    RecordingPeer again = fixture.connect("s1", "north", 5);
    Frame attach = again.of(Frame.BodyCase.ATTACH).get(0);
    assertThat(attach.getAttach().getNextSequence()).isEqualTo(1);
    fixture.data(again, id, 1, "done");
    fixture.end(again, id, 2, complete());
    assertThat(fixture.effects.of(1).ends).containsExactly(Outcome.COMPLETE);
  }

  /** Guards against an order that runs twice, and against reporting that it did not run. */
  @Test
  void doesNotRetryOrderOfLostAgent() {
    RecordingPeer agent = fixture.connect("s1", "north", 5);
    fixture.order(1);
    fixture.grant(agent, "orders", false);
    fixture.router.onPeerClosed(agent, true);
    final RecordingPeer other = fixture.connect("s2", "north", 6);
    fixture.advanceTime(10_000);
    Outcome end = fixture.effects.of(1).ends.get(0);
    assertThat(end.failure()).contains(ErrorCode.AGENT_LOST);
    assertThat(end.ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(end.retryAfterMillis()).isEmpty();
    assertThat(fixture.grant(other, "orders", false)).isEmpty();
  }

  /** Guards against not retrying an order that is known not to have run. */
  @Test
  void retriesOrderThatDidNotRun() {
    RecordingPeer agent = fixture.connect("s1", "north", 5);
    fixture.order(1);
    RequestId id = fixture.grant(agent, "orders", false).get(0).getRequestId();
    RecordingPeer other = fixture.connect("s2", "north", 6);
    fixture.end(agent, id, 0, notRun("target-unreachable"));
    assertThat(fixture.grant(agent, "orders", false)).hasSize(1);
    List<Dispatch> second = fixture.grant(other, "orders", false);
    assertThat(second).hasSize(1);
    assertThat(second.get(0).getRequestId()).isNotEqualTo(id);
    assertThat(second.get(0).getAttempt()).isEqualTo(2);
  }

  /** Guards against duplicate or missing events when a stream is resumed on another engine. */
  @Test
  void resumesStreamAfterWholeEvents() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    RequestId id = fixture.grant(agent, "belt", false).get(0).getRequestId();
    fixture.head(agent, id, EVENTS);
    fixture.data(agent, id, 1, "data: a\n\ndata: b\n\nda");
    RecordingPeer other = fixture.connect("m2", "north", 6);
    fixture.end(agent, id, 2, AnswerEnd.newBuilder().setCode("target-failed"));
    Dispatch second = fixture.grant(other, "belt", false).get(0);
    assertThat(second.getResumeAfter()).isEqualTo(2);
    fixture.head(other, second.getRequestId(), EVENTS);
    fixture.data(other, second.getRequestId(), 1, "data: c\n\n");
    fixture.end(other, second.getRequestId(), 2, complete());
    assertThat(fixture.effects.of(1).body.toStringUtf8())
        .isEqualTo("data: a\n\ndata: b\n\ndata: c\n\n");
    assertThat(fixture.effects.of(1).ends).containsExactly(Outcome.COMPLETE);
    assertThat(fixture.effects.faults).isEmpty();
  }

  /** Guards against a request that crashes one target after another. */
  @Test
  void refusesRequestThatCrashesTargets() {
    RecordingPeer first = fixture.connect("m1", "north", 5);
    fixture.connect("m2", "north", 6);
    fixture.chat(1);
    fixture.grant(first, "belt", false);
    fixture.router.onPeerClosed(first, true);
    RecordingPeer back = fixture.connect("m1", "north", 7);
    RecordingPeer second = fixture.connect("m3", "north", 8);
    assertThat(back.of(Frame.BodyCase.SUSPECT_NOTICE)).hasSize(1);
    assertThat(fixture.grant(second, "belt", false))
        .as("suspect request beside other requests")
        .isEmpty();
    assertThat(fixture.grant(second, "belt", true).get(0).getExclusive()).isTrue();
    fixture.router.onPeerClosed(second, true);
    fixture.connect("m3", "north", 9);
    Outcome end = fixture.effects.of(1).ends.get(0);
    assertThat(end.failure()).contains(ErrorCode.REQUEST_CRASHES_TARGETS);
    assertThat(end.ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(fixture.effects.suspects)
        .extracting(SuspectNotice::getCrashId)
        .containsExactly("m1@5", "m3@8");
    fixture.router.onRequest(
        RoutingFixture.request(2, CallerRequest.Kind.MODEL, "POST", RoutingFixture.TIMEOUT));
    assertThat(fixture.effects.of(2).ends).as("other body").isEmpty();
  }

  /**
   * Guards against a newly started router that sends a request with two known crashes to a third
   * target.
   */
  @Test
  void knowsStoredCrashMarks() {
    CallerRequest request =
        RoutingFixture.request(1, CallerRequest.Kind.MODEL, "POST", RoutingFixture.TIMEOUT);
    SuspectNotice.Builder mark =
        SuspectNotice.newBuilder().setFingerprint(Dispatcher.fingerprint(request));
    fixture.router.onStoredSuspects(
        List.of(mark.setCrashId("m1@1").build(), mark.setCrashId("m2@1").build()));
    fixture.router.onRequest(request);
    assertThat(fixture.effects.of(1).ends.get(0).failure())
        .contains(ErrorCode.REQUEST_CRASHES_TARGETS);
    assertThat(fixture.effects.of(1).ends.get(0).ran()).isEqualTo(Ran.NO);
  }

  /** Guards against an attempt that keeps running after its caller has disconnected. */
  @Test
  void cancelsWhenCallerGoes() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    RequestId id = fixture.grant(agent, "belt", false).get(0).getRequestId();
    fixture.router.onCallerGone(1);
    assertThat(agent.of(Frame.BodyCase.CANCEL).get(0).getCancel().getRequestId()).isEqualTo(id);
    fixture.head(agent, id, EVENTS);
    assertThat(fixture.effects.of(1).status).isZero();
  }

  /** Guards against a request that exceeds its deadline or reports its execution wrongly. */
  @Test
  void endsAtDeadline() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.router.onRequest(RoutingFixture.request(1, CallerRequest.Kind.MODEL, "POST", 500));
    fixture.grant(agent, "belt", false);
    fixture.router.onRequest(RoutingFixture.request(2, CallerRequest.Kind.MODEL, "POST", 500));
    fixture.advanceTime(510);
    assertThat(fixture.effects.of(1).ends.get(0).ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(fixture.effects.of(2).ends.get(0).ran()).isEqualTo(Ran.NO);
    assertThat(fixture.effects.of(2).ends.get(0).failure()).contains(ErrorCode.DEADLINE_EXCEEDED);
    assertThat(fixture.effects.of(2).ends.get(0).retryAfterMillis()).isPresent();
  }

  /** Guards against requests that wait although no target is connected. */
  @Test
  void refusesWithoutAnyAgent() {
    fixture.chat(1);
    assertThat(fixture.effects.dialled).containsExactly("belt");
    fixture.advanceTime(5_010);
    Outcome end = fixture.effects.of(1).ends.get(0);
    assertThat(end.failure()).contains(ErrorCode.NO_TARGET);
    assertThat(end.ran()).isEqualTo(Ran.NO);
  }

  /** Guards against a drain that loses requests or does not end. */
  @Test
  void drainsAfterLastRequest() {
    final RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    fixture.router.onDrain();
    fixture.chat(2);
    assertThat(fixture.effects.of(2).ends.get(0).failure()).contains(ErrorCode.DRAINING);
    assertThat(fixture.router.drained()).isFalse();
    RequestId id = fixture.grant(agent, "belt", false).get(0).getRequestId();
    fixture.head(agent, id, EVENTS);
    fixture.end(agent, id, 1, complete());
    assertThat(fixture.router.drained()).isTrue();
  }

  /** Guards against offers that stay at agents and requests that stay open after the limit. */
  @Test
  void endsEverythingAtDrainLimit() {
    RecordingPeer agent = fixture.connect("m1", "north", 5);
    fixture.chat(1);
    fixture.grant(agent, "belt", false);
    fixture.chat(2);
    fixture.router.onDrainLimit();
    assertThat(fixture.effects.of(1).ends.get(0).ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(fixture.effects.of(2).ends.get(0).ran()).isEqualTo(Ran.NO);
    List<Frame> offers = agent.of(Frame.BodyCase.OFFERS);
    assertThat(offers.get(offers.size() - 1).getOffers().getOffers(0).getWaiting()).isZero();
    assertThat(fixture.router.drained()).isTrue();
  }

  /** Guards against an agent that stops because its window is never acknowledged. */
  @Test
  void acknowledgesWhatCallerConsumed() {
    RecordingPeer agent = fixture.connect("s1", "north", 5);
    fixture.order(1);
    RequestId id = fixture.grant(agent, "orders", false).get(0).getRequestId();
    fixture.head(agent, id, "text/plain");
    fixture.data(agent, id, 1, "x".repeat(40_000));
    fixture.data(agent, id, 2, "x".repeat(40_000));
    assertThat(agent.of(Frame.BodyCase.ANSWER_ACK)).isEmpty();
    fixture.router.onConsumed(1, 70_000);
    List<Frame> acks = agent.of(Frame.BodyCase.ANSWER_ACK);
    assertThat(acks).hasSize(1);
    assertThat(acks.get(0).getAnswerAck().getNextSequence()).isEqualTo(2);
  }

  /** Guards against memory that grows with the number of waiting requests. */
  @Test
  void refusesBeyondLimits() {
    RoutingFixture small = new RoutingFixture(RoutingSettings.DEFAULT.withQueues(2, 3, 10));
    for (long caller = 1; caller <= 3; caller++) {
      small.chat(caller);
    }
    Outcome end = small.effects.of(3).ends.get(0);
    assertThat(end.failure()).isEqualTo(Optional.of(ErrorCode.ORGANISATION_QUEUE_FULL));
    assertThat(end.retryAfterMillis()).isPresent();
    RoutingFixture heavy = new RoutingFixture(RoutingSettings.DEFAULT.withHeldBytes(10));
    heavy.chat(1);
    heavy.chat(2);
    assertThat(heavy.effects.of(2).ends.get(0).failure()).contains(ErrorCode.ROUTER_OVERLOADED);
  }

  /** Guards against an organisation that uses a pool it has no access to. */
  @Test
  void refusesPoolOutsideReach() {
    CallerRequest request =
        new CallerRequest(
            1,
            "stranger",
            "belt",
            CallerRequest.Kind.MODEL,
            "POST",
            "/x",
            List.of(),
            ByteString.EMPTY,
            RoutingFixture.TIMEOUT,
            1,
            false,
            "");
    fixture.router.onRequest(request);
    assertThat(fixture.effects.of(1).ends.get(0).failure()).contains(ErrorCode.POOL_NOT_REACHABLE);
  }

  /**
   * Builds the end of a whole answer.
   *
   * @return the end
   */
  private static AnswerEnd.Builder complete() {
    return AnswerEnd.newBuilder()
        .setComplete(true)
        .setRan(org.almondslip.protocol.wire.Ran.YES)
        .setCostMs(10);
  }

  /**
   * Builds the end of a request that did not run.
   *
   * @param code the code
   * @return the end
   */
  private static AnswerEnd.Builder notRun(String code) {
    return AnswerEnd.newBuilder().setCode(code).setRan(org.almondslip.protocol.wire.Ran.NO);
  }
}
