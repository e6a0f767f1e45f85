package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.junit.jupiter.api.Test;

/** Tests {@link QueueAdmission} through a router. */
class QueueAdmissionTest {

  private final RoutingFixture fixture = new RoutingFixture();

  /**
   * Guards against queueing a request that cannot meet its deadline, and against a retry time
   * unrelated to the queue.
   */
  @Test
  void refusesWhenWaitExceedsDeadline() {
    RecordingPeer agent = fixture.connect("m1", "north", 1);
    for (long caller = 1; caller <= 6; caller++) {
      fixture.chat(caller);
    }
    for (int i = 0; i < 2; i++) {
      fixture.advanceTime(2_000);
      fixture.grant(agent, "belt", false);
    }
    fixture.router.onRequest(RoutingFixture.request(7, CallerRequest.Kind.MODEL, "POST", 4_000));
    Outcome end = fixture.effects.of(7).ends.get(0);
    assertThat(end.failure()).contains(ErrorCode.DEADLINE_TOO_SHORT);
    assertThat(end.ran()).isEqualTo(Ran.NO);
    assertThat(end.retryAfterMillis()).contains(8_000L);
    fixture.router.onRequest(RoutingFixture.request(8, CallerRequest.Kind.MODEL, "POST", 9_000));
    assertThat(fixture.effects.of(8).ends).isEmpty();
  }

  /** Guards against refusing requests to an idle pool because of an outdated slow rate. */
  @Test
  void admitsToEmptyQueue() {
    RecordingPeer agent = fixture.connect("m1", "north", 1);
    fixture.chat(1);
    fixture.advanceTime(30_000);
    fixture.grant(agent, "belt", false);
    fixture.router.onRequest(RoutingFixture.request(2, CallerRequest.Kind.MODEL, "POST", 100));
    assertThat(fixture.effects.of(2).ends).isEmpty();
  }
}
