package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import org.almondslip.catalog.CatalogObject.Target.State;
import org.almondslip.error.ErrorCode;
import org.almondslip.execution.ExecutionCounters.Count;
import org.almondslip.execution.TargetFailure.Kind;
import org.almondslip.order.Claim;
import org.almondslip.order.ClaimRecord;
import org.almondslip.order.ClaimResult;
import org.almondslip.order.ClaimState;
import org.almondslip.order.StoredAnswer;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Decline;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.junit.jupiter.api.Test;

/**
 * Guards request handling against lost requests, duplicate runs and wrong reports of whether a
 * request ran.
 */
class AgentLogicTest {

  /** Agent with two slots and one prefetch place. */
  private final AgentHarness harness = new AgentHarness(2, AgentLimits.DEFAULT);

  @Test
  void runsRequestFromGrantToEnd() {
    final long token = harness.run(1);
    harness.answer(token, "hello");
    harness.clock.advance(30);
    harness.agent.onTargetEnd(token);

    assertThat(harness.target.calls).hasSize(1);
    assertThat(harness.router.answers())
        .extracting(Answer::getSequence)
        .containsExactly(0L, 1L, 2L);
    AnswerEnd end = harness.router.lastAnswer().getEnd();
    assertThat(end.getComplete()).isTrue();
    assertThat(end.getRan()).isEqualTo(Ran.YES);
    assertThat(end.getCostMs()).isEqualTo(30);
    assertThat(harness.accounts.settled).containsEntry(token, 30L);
    harness.ack(1, 3);
    assertThat(harness.agent.isIdle()).isTrue();
  }

  @Test
  void grantsSlotsAndStageOnly() {
    harness.offer(10, false);
    assertThat(harness.router.grants()).hasSize(3);
  }

  @Test
  void freesReservationOfExpiredAndDeclinedGrants() {
    harness.offer(4, false);
    assertThat(harness.router.grants()).hasSize(3);
    Decline.Builder decline = Decline.newBuilder().setGrantId(1);
    harness.agent.onFrame(harness.router, Frame.newBuilder().setDecline(decline).build());
    assertThat(harness.router.grants()).hasSize(4);
    harness.tickAfter(2_000);
    assertThat(harness.router.grants()).hasSize(7);
    assertThat(harness.accounts.open).hasSize(3);
  }

  @Test
  void refusesDispatchOfExpiredGrantAsNotRun() {
    harness.offer(1, false);
    harness.router.grants();
    harness.clock.advance(2_000);
    harness.agent.onTick();
    harness.dispatch(AgentHarness.request(harness.router.grants().get(0), 1));
    assertThat(harness.router.lastAnswer().getEnd().getRan()).isEqualTo(Ran.NO);
    assertThat(harness.target.calls).isEmpty();
  }

  @Test
  void ignoresRepeatedDispatchOfRunningRequest() {
    harness.run(1);
    harness.dispatch(AgentHarness.request(harness.router.grants().get(0), 1));
    harness.run(1);
    assertThat(harness.target.calls).hasSize(1);
    assertThat(harness.router.answers()).isEmpty();
    assertThat(harness.counters.value(Count.FRAMES_REPEATED)).isEqualTo(2);
  }

  @Test
  void replaysUnacknowledgedPartsOnNewConnection() {
    final long token = harness.run(1);
    harness.answer(token, "a");
    harness.ack(1, 1);
    harness.agent.onClose(harness.router.id());
    harness.agent.onTargetData(token, ByteString.copyFromUtf8("b"));
    FakePeer next = new FakePeer(2);
    harness.agent.onOpen(next);
    harness.attach(next, 1, 1);
    harness.agent.onTargetEnd(token);
    assertThat(next.answers()).extracting(Answer::getSequence).containsExactly(1L, 2L, 3L);
  }

  @Test
  void refusesLateDispatchThatAttachReportedAsNotRun() {
    harness.offer(1, false);
    harness.attach(harness.router, 1, 0);
    assertThat(harness.router.lastAnswer().getEnd().getRan()).isEqualTo(Ran.NO);
    harness.dispatch(AgentHarness.request(harness.router.grants().get(0), 1));
    assertThat(harness.target.calls).isEmpty();
    assertThat(harness.router.lastAnswer().getEnd().getRan()).isEqualTo(Ran.NO);
  }

  @Test
  void abandonsRequestsWhenRouterDoesNotReattach() {
    final long token = harness.run(1);
    harness.agent.onClose(harness.router.id());
    harness.tickAfter(9_999);
    assertThat(harness.target.cancelled).isEmpty();
    harness.tickAfter(1);
    assertThat(harness.target.cancelled).containsExactly(token);
    harness.agent.onTargetFailed(token, new TargetFailure(Kind.CANCELLED, true, "cancelled"));
    assertThat(harness.agent.isIdle()).isTrue();
    FakePeer next = new FakePeer(2);
    harness.agent.onOpen(next);
    harness.attach(next, 1, 0);
    assertThat(next.lastAnswer().getEnd().getRan()).isEqualTo(Ran.UNKNOWN);
  }

  @Test
  void pausesTargetAtWindowAndResumesAfterAck() {
    final long token = harness.run(1);
    harness.agent.onTargetHead(token, AnswerHead.getDefaultInstance());
    ByteString piece = ByteString.copyFrom(new byte[64 << 10]);
    for (int i = 0; i < 4; i++) {
      harness.agent.onTargetData(token, piece);
    }
    assertThat(harness.target.paused).containsExactly(token);
    harness.tickAfter(31_000);
    assertThat(harness.target.cancelled).as("a paused call is not hanging").isEmpty();
    harness.ack(1, 2);
    assertThat(harness.target.paused).containsExactly(token);
    harness.ack(1, 4);
    assertThat(harness.target.paused).isEmpty();
  }

  @Test
  void reportsConnectRefusedAsNotRunAndStopsGranting() {
    final long token = harness.run(1);
    harness.agent.onTargetFailed(token, new TargetFailure(Kind.NOT_CONNECTED, false, "refused"));
    assertThat(harness.router.lastAnswer().getEnd().getRan()).isEqualTo(Ran.NO);
    assertThat(harness.accounts.settled).containsEntry(token, 0L);
    int grants = harness.router.grants().size();
    harness.offer(5, false);
    assertThat(harness.router.grants()).hasSize(grants);
    assertThat(harness.target.probes).isEqualTo(2);
    harness.agent.onProbe(true);
    assertThat(harness.router.grants()).hasSize(grants + 3);
  }

  @Test
  void cancelsCallAtDeadlineAndWithoutProgress() {
    final long first = harness.run(1);
    harness.offer(1, false);
    harness.dispatch(AgentHarness.request(harness.router.grants().get(1), 2).setDeadlineMs(1_000));
    harness.tickAfter(1_000);
    assertThat(harness.target.cancelled)
        .containsExactly(harness.router.grants().get(1).getGrantId());
    harness.tickAfter(29_000);
    assertThat(harness.target.cancelled).contains(first);
    harness.agent.onTargetFailed(first, new TargetFailure(Kind.CANCELLED, true, "cancelled"));
    AnswerEnd end = harness.router.lastAnswer().getEnd();
    assertThat(end.getCode()).isEqualTo(ErrorCode.TARGET_TIMEOUT.label());
    assertThat(end.getRan()).isEqualTo(Ran.UNKNOWN);
  }

  @Test
  void handsStagedRequestsBackOnDrainAndFinishesRunningOnes() {
    harness.offer(3, false);
    for (int i = 0; i < 3; i++) {
      harness.dispatch(AgentHarness.request(harness.router.grants().get(i), i));
    }
    assertThat(harness.target.calls).hasSize(2);
    harness.agent.setDrain(DrainReason.PLANNED_STOP, true);
    assertThat(harness.router.sent).anyMatch(Frame::hasDrain);
    assertThat(harness.router.lastAnswer().getEnd().getRan()).isEqualTo(Ran.NO);
    harness.offer(3, false);
    assertThat(harness.router.grants()).hasSize(3);
    assertThat(harness.target.cancelled).isEmpty();
    harness.agent.onTargetEnd(1);
    harness.agent.onTargetEnd(2);
    assertThat(harness.router.lastAnswer().getEnd().getComplete()).isTrue();
  }

  @Test
  void drainsWhileCatalogMarksTargetLeaving() {
    harness.agent.onCatalog(AgentHarness.catalog(2, State.LEAVING, 2));
    harness.offer(1, false);
    assertThat(harness.router.grants()).isEmpty();
    assertThat(harness.agent.status().getDraining()).isTrue();
    harness.agent.onCatalog(AgentHarness.catalog(2, State.ACTIVE, 3));
    assertThat(harness.router.grants()).hasSize(1);
  }

  @Test
  void runsSuspectedRequestExclusively() {
    final long other = harness.run(1);
    harness.offer(1, true);
    harness.dispatch(AgentHarness.request(harness.router.grants().get(1), 2));
    assertThat(harness.target.calls).as("waits until nothing else runs").hasSize(1);
    harness.offer(1, false);
    assertThat(harness.router.grants()).as("nothing is granted meanwhile").hasSize(2);
    harness.agent.onTargetEnd(other);
    assertThat(harness.target.calls).hasSize(2);
    assertThat(harness.router.grants()).hasSize(2);
    harness.agent.onTargetEnd(2);
    assertThat(harness.router.sent).anyMatch(frame -> frame.getSuspectNotice().getCleared());
    assertThat(harness.router.grants()).hasSize(3);
  }

  @Test
  void marksEveryRequestInFlightWhenTargetCrashes() {
    final long first = harness.run(1);
    final long second = harness.run(2);
    harness.agent.onTargetFailed(first, new TargetFailure(Kind.RESET, true, "reset"));
    assertThat(harness.router.lastAnswer().getEnd().getRan()).isEqualTo(Ran.UNKNOWN);
    harness.agent.onProbe(false);
    harness.agent.onTargetFailed(second, new TargetFailure(Kind.RESET, true, "reset"));
    harness.tickAfter(300);
    harness.agent.onProbe(true);
    assertThat(harness.router.sent)
        .filteredOn(Frame::hasSuspectNotice)
        .extracting(frame -> frame.getSuspectNotice().getCrashId())
        .containsExactly("t1@42#1", "t1@42#1");
    assertThat(harness.suspects.verdict(1)).isEqualTo(Verdict.SUSPECT);
    assertThat(harness.suspects.verdict(2)).isEqualTo(Verdict.SUSPECT);
  }

  @Test
  void refusesRequestWithTwoCrashMarks() {
    for (int crash = 1; crash <= 2; crash++) {
      SuspectNotice.Builder notice =
          SuspectNotice.newBuilder().setFingerprint(1).setCrashId("t2@1#" + crash);
      harness.agent.onFrame(harness.router, Frame.newBuilder().setSuspectNotice(notice).build());
    }
    harness.run(1);
    assertThat(harness.target.calls).isEmpty();
    assertThat(harness.router.lastAnswer().getEnd().getCode())
        .isEqualTo(ErrorCode.REQUEST_CRASHES_TARGETS.label());
  }

  @Test
  void callsTargetOnlyAfterClaim() {
    harness.offer(1, false);
    harness.dispatch(
        AgentHarness.request(harness.router.grants().get(0), 1).setIdempotencyKey("k"));
    assertThat(harness.target.calls).isEmpty();
    harness.claims.callbacks.get(0).accept(granted());
    assertThat(harness.target.calls).hasSize(1);
    harness.answer(1, "done");
    harness.cancel(1);
    assertThat(harness.target.cancelled).as("the answer of an order is recorded").isEmpty();
    harness.agent.onTargetEnd(1);
    assertThat(harness.claims.completed.get(0).body().toStringUtf8()).isEqualTo("done");
    assertThat(harness.router.lastAnswer().getEnd().getComplete()).isFalse();
  }

  @Test
  void releasesClaimWhenCallWasNotSent() {
    harness.offer(1, false);
    harness.dispatch(
        AgentHarness.request(harness.router.grants().get(0), 1).setIdempotencyKey("k"));
    harness.claims.callbacks.get(0).accept(granted());
    harness.agent.onTargetFailed(1, new TargetFailure(Kind.NOT_CONNECTED, false, "refused"));
    assertThat(harness.claims.released).hasSize(1);
  }

  @Test
  void replaysStoredAnswerWithinWindow() {
    harness.offer(1, false);
    harness.dispatch(
        AgentHarness.request(harness.router.grants().get(0), 1).setIdempotencyKey("k"));
    ByteString body = ByteString.copyFrom(new byte[600 << 10]);
    StoredAnswer stored = new StoredAnswer(AnswerHead.getDefaultInstance(), body);
    harness.claims.callbacks.get(0).accept(new ClaimResult.Replay(stored));
    assertThat(harness.router.answers()).hasSize(5);
    harness.ack(1, 5);
    harness.ack(1, 9);
    harness.ack(1, 11);
    assertThat(harness.router.lastAnswer().getEnd().getComplete()).isTrue();
    int size = harness.router.answers().stream().mapToInt(part -> part.getData().size()).sum();
    assertThat(size).isEqualTo(600 << 10);
    assertThat(harness.target.calls).isEmpty();
  }

  @Test
  void countsBusyAndIdleWaitingSlotTime() {
    harness.run(1);
    harness.offer(4, false);
    harness.clock.advance(10);
    harness.agent.onTick();
    assertThat(harness.counters.value(Count.SLOT_BUSY_MILLIS)).isEqualTo(10);
    assertThat(harness.counters.value(Count.SLOT_IDLE_WAITING_MILLIS)).isEqualTo(10);
  }

  /**
   * Builds the result of a granted claim.
   *
   * @return the result
   */
  private ClaimResult granted() {
    ClaimRecord record = new ClaimRecord("c", "f", ClaimState.STARTED, "i1", 42, 0, null);
    return new ClaimResult.Granted(new Claim(harness.claims.orders.get(0), 1, record));
  }
}
