package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.almondslip.error.Ran;

/** Property tests of {@link RouterLogic} while agents, connections and frames fail. */
class RouterLogicPropertyTest {

  /** Number of events with faults in one run. */
  private static final int STEPS = 1_500;

  /**
   * Guards against duplicate, missing, mixed or foreign bytes, a second end, a request without an
   * end, an incorrect "not run" and an order that runs twice.
   *
   * @param seed the seed of the faults
   */
  @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void maintainsInvariantsUnderFaults(@ForAll @LongRange(min = 0) long seed) {
    run(new FaultyFleet(seed, false));
  }

  /**
   * Guards against the same failures with the real agent logic, where router and agent may
   * interpret a frame differently.
   *
   * @param seed the seed of the faults
   */
  @Property(tries = 150, seed = "20261206", shrinking = ShrinkingMode.OFF)
  void maintainsInvariantsWithAgentLogic(@ForAll @LongRange(min = 0) long seed) {
    run(new FaultyFleet(seed, true));
  }

  /**
   * Runs a fleet with faults and checks all invariants.
   *
   * @param fleet the fleet
   */
  private static void run(FaultyFleet fleet) {
    for (int i = 0; i < STEPS; i++) {
      fleet.step(true);
      assertThat(fleet.router.stats().waiting())
          .as("waiting, with retries of requests that were admitted before")
          .isLessThanOrEqualTo(FaultyFleet.QUEUE_LIMIT + 10);
    }
    fleet.runWithoutFaults();
    assertThat(fleet.effects.faults).isEmpty();
    fleet.bodies.forEach((caller, body) -> checkReceived(fleet, caller, body));
    assertThat(fleet.router.stats().waiting()).isZero();
    assertThat(fleet.router.stats().inFlight()).isZero();
    assertThat(fleet.router.stats().heldBytes()).isZero();
  }

  /**
   * Guards against a drain that does not end or that ends requests it could have finished.
   *
   * @param seed the seed of the faults
   */
  @Property(tries = 50, seed = "20261205", shrinking = ShrinkingMode.OFF)
  void drainEnds(@ForAll @LongRange(min = 0) long seed) {
    FaultyFleet fleet = new FaultyFleet(seed, false);
    for (int i = 0; i < STEPS / 2; i++) {
      fleet.step(true);
    }
    fleet.router.onDrain();
    fleet.runWithoutFaults();
    assertThat(fleet.router.drained()).isTrue();
    fleet.bodies.forEach((caller, body) -> checkReceived(fleet, caller, body));
  }

  /**
   * Checks what one caller received.
   *
   * @param fleet the fleet
   * @param caller the caller
   * @param body the body of its request
   */
  private static void checkReceived(FaultyFleet fleet, long caller, String body) {
    RecordingEffects.Received received = fleet.effects.of(caller);
    ByteString whole = FakeAgent.answerTo(body, 0);
    int runs = fleet.runs.getOrDefault(body, 0);
    assertThat(whole.startsWith(received.body)).as("own bytes in order").isTrue();
    if (fleet.orders.contains(caller)) {
      assertThat(runs).as("runs of order " + caller).isLessThanOrEqualTo(1);
    }
    if (fleet.disconnectedCallers.contains(caller)) {
      assertThat(received.ends).isEmpty();
      return;
    }
    assertThat(received.ends).as("ends of caller " + caller).hasSize(1);
    Outcome end = received.ends.get(0);
    if (end.failure().isEmpty()) {
      assertThat(received.body).isEqualTo(whole);
    }
    if (end.ran() == Ran.NO) {
      assertThat(runs).as("runs of refused request " + caller).isZero();
    }
  }
}
