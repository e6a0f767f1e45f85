package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.almondslip.catalog.CatalogObject.Target.State;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.time.Clock;

/**
 * Verifies the invariants of an agent against routers and targets that delay, duplicate and lose
 * frames or crash.
 */
class AgentLogicPropertyTest {

  private static final int SLOTS = 3;

  private static final int REQUESTS = 25;

  private static final int WINDOW = 4_000;

  /** Encoding overhead of an answer part, in bytes. */
  private static final int PART_OVERHEAD = 100;

  /** Simulation run with a random order of events. */
  private static final class Run {

    private final Random random;

    private final Clock.Manual clock = new Clock.Manual(1_000);

    private final ExecutionCounters counters = new ExecutionCounters();

    private final FakeAccounts accounts = new FakeAccounts();

    private final SimulatedTarget target;

    private final AgentLogic agent;

    private final SimulatedRouter router;

    private boolean drained;

    private Run(long seed) {
      random = new Random(seed);
      target = new SimulatedTarget(random);
      agent =
          new AgentLogic(
              AgentHarness.SELF,
              AgentLimits.DEFAULT.withWindow(WINDOW),
              clock,
              target,
              new FakeClaims(),
              new FifoOfferScheduler(),
              accounts,
              new SuspectRegistry(),
              counters);
      target.setAgent(agent);
      agent.onCatalog(AgentHarness.catalog(SLOTS, State.ACTIVE, 1));
      router = new SimulatedRouter(random, agent, REQUESTS);
    }

    private void steps(int count, int maxMillis) {
      for (int i = 0; i < count; i++) {
        switch (random.nextInt(4)) {
          case 0 -> {
            clock.advance(random.nextInt(maxMillis));
            agent.onTick();
          }
          case 1 -> target.step();
          default -> router.step();
        }
        checkSlots();
        checkWindow();
      }
    }

    /**
     * Checks that no slot is idle while a request is offered, provided that no frame is in transit,
     * the target is healthy, the agent is not draining and no request must run exclusively.
     */
    private void checkSlots() {
      boolean settled = router.isQuiet() && !drained && agent.status().getHealthy();
      if (settled && !router.queue.isEmpty() && !counters.waitsAlone()) {
        assertThat(target.active()).as("slots in use").isEqualTo(SLOTS);
      }
    }

    private void checkWindow() {
      router.open.forEach(
          (number, received) -> {
            int produced = target.produced.getOrDefault(SimulatedRouter.body(number), 0);
            int unacknowledged = produced - router.acknowledged.getOrDefault(number, 0);
            assertThat(unacknowledged)
                .as("unacknowledged bytes of request " + number)
                .isLessThanOrEqualTo(WINDOW + SimulatedTarget.CHUNK_BYTES + PART_OVERHEAD);
          });
    }

    private void checkEnds() {
      router.ends.forEach(
          (number, end) -> {
            int runs = target.runs.getOrDefault(SimulatedRouter.body(number), 0);
            if (end.getRan() == Ran.NO) {
              assertThat(runs).as("runs of request " + number + ": " + end).isZero();
            } else if (end.getRan() == Ran.YES) {
              assertThat(runs).as("runs of request " + number).isEqualTo(1);
            }
            assertThat(end.getRan()).isNotEqualTo(Ran.RAN_UNSPECIFIED);
          });
    }

    private void finish() {
      router.disableFaults();
      target.disableFaults();
      steps(12_000, 40);
      assertThat(router.open).as("requests without an end").isEmpty();
      checkEnds();
      clock.advance(80_000);
      agent.onTick();
      steps(200, 1_000);
      assertThat(agent.isIdle()).isTrue();
      assertThat(accounts.open).as("charges that were never settled").isEmpty();
    }
  }

  @Property(seed = "2027", tries = 300, shrinking = ShrinkingMode.OFF)
  void preservesInvariantsUnderFaults(@ForAll long seed) {
    Run run = new Run(seed);
    run.steps(3_000, 60);
    run.finish();
    assertThat(run.router.queue).as("requests that were never granted").isEmpty();
  }

  @Property(seed = "2028", tries = 150, shrinking = ShrinkingMode.OFF)
  void preservesInvariantsWithLongDelays(@ForAll long seed) {
    Run run = new Run(seed);
    run.steps(3_000, 3_000);
    run.finish();
  }

  @Property(seed = "2029", tries = 150, shrinking = ShrinkingMode.OFF)
  void drainStartsNoFurtherRequests(@ForAll long seed) {
    Run run = new Run(seed);
    run.steps(run.random.nextInt(1_500), 40);
    run.drained = true;
    int before = run.target.runs.size() + run.target.active();
    run.agent.setDrain(DrainReason.PLANNED_STOP, true);
    run.finish();
    assertThat(run.target.runs.size()).isLessThanOrEqualTo(before);
  }
}
