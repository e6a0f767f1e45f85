package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.junit.jupiter.api.Test;

/** Tests {@link SuspectBroadcaster}. */
class SuspectBroadcasterTest {

  private final RecordingEffects effects = new RecordingEffects();

  /** Crash records under test. */
  private final SuspectBroadcaster suspects =
      new SuspectBroadcaster(new SuspectRegistry(), effects);

  private final RecordingPeer first = peer(1);

  private final RecordingPeer second = peer(2);

  /** Guards against notices that circulate endlessly or stop after one hop. */
  @Test
  void passesNewNoticesToOthersOnce() {
    SuspectNotice notice = SuspectNotice.newBuilder().setFingerprint(7).setCrashId("m1@1").build();
    suspects.onNotice(first, notice);
    suspects.onNotice(second, notice);
    assertThat(first.sent).isEmpty();
    assertThat(second.of(Frame.BodyCase.SUSPECT_NOTICE)).hasSize(1);
    assertThat(effects.suspects).as("recorded once, since agents do not write").hasSize(1);
  }

  /** Guards against crash records that a process started after the crash never receives. */
  @Test
  void tellsNewPeersAllMarks() {
    suspects.onCrash(7, RecordingPeer.agent("m1", "north", 5));
    RecordingPeer late = peer(3);
    assertThat(late.of(Frame.BodyCase.SUSPECT_NOTICE)).hasSize(1);
  }

  /** Guards against two records of one crash, and against harmless requests that stay suspect. */
  @Test
  void countsCrashOnceAndClearsOnSuccess() {
    suspects.onCrash(7, RecordingPeer.agent("m1", "north", 5));
    suspects.onCrash(7, RecordingPeer.agent("m1", "north", 5));
    assertThat(suspects.verdict(7)).isEqualTo(Verdict.SUSPECT);
    suspects.onSuccess(7);
    suspects.onSuccess(7);
    assertThat(suspects.verdict(7)).isEqualTo(Verdict.CLEAR);
    assertThat(effects.suspects).hasSize(2);
    assertThat(first.sent).hasSize(2);
  }

  /**
   * Connects a peer.
   *
   * @param id the id of the connection
   * @return the connection
   */
  private RecordingPeer peer(long id) {
    RecordingPeer peer = new RecordingPeer(id, RecordingPeer.agent("m" + id, "north", 1));
    suspects.addPeer(peer);
    return peer;
  }
}
