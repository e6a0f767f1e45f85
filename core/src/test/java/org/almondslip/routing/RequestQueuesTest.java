package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.catalog.Flow;
import org.almondslip.error.Ran;
import org.junit.jupiter.api.Test;

/** Tests {@link RequestQueues} and {@link FlowQueue}. */
class RequestQueuesTest {

  /** Flow of all requests. */
  private static final Flow FLOW = Flow.of("acme", "belt", 1);

  private final RequestQueues queues = new RequestQueues();

  /** Guards against limits that use the wrong counts. */
  @Test
  void countsByOrganisationAndRouter() {
    PendingRequest first = pending(1);
    PendingRequest second = pending(2);
    queues.add(first, 0);
    queues.add(second, 0);
    queues.remove(first);
    queues.remove(first);
    assertThat(queues.waiting()).isEqualTo(1);
    assertThat(queues.waitingOf("acme")).isEqualTo(1);
    queues.dispatch(second, 10);
    assertThat(queues.waiting()).isZero();
    assertThat(queues.waitingOf("acme")).isZero();
  }

  /**
   * Guards against a retry that is queued behind newer requests or offered to a target at which it
   * failed.
   */
  @Test
  void putsRetriesFirst() {
    PendingRequest retried = pending(1);
    InFlightTable table = new InFlightTable(1);
    table.start(retried, RecordingPeer.agent("m1", "north", 1), 1);
    retried.attemptFailed(Ran.NO);
    queues.add(pending(2), 0);
    queues.addFirst(retried, 5);
    FlowQueue queue = queues.of(FLOW);
    assertThat(queue.head()).contains(retried);
    assertThat(queue.countEligible(pending -> !pending.hasFailedAt("m1"))).isEqualTo(1);
    assertThat(queue.countEligible(pending -> !pending.hasFailedAt("m2"))).isEqualTo(2);
    assertThat(retried.ran()).isEqualTo(Ran.NO);
  }

  /** Guards against a memory leak for flows that no longer exist. */
  @Test
  void forgetsEmptyQueuesOfMissingFlows() {
    PendingRequest waiting = pending(1);
    queues.add(waiting, 0);
    queues.retain(id -> false);
    assertThat(queues.all()).hasSize(1);
    queues.remove(waiting);
    queues.retain(id -> false);
    assertThat(queues.all()).isEmpty();
  }

  /**
   * Creates a request.
   *
   * @param caller the caller
   * @return the request
   */
  private static PendingRequest pending(long caller) {
    CallerRequest request =
        RoutingFixture.request(caller, CallerRequest.Kind.MODEL, "POST", RoutingFixture.TIMEOUT);
    return new PendingRequest(request, FLOW, caller, true, 0);
  }
}
