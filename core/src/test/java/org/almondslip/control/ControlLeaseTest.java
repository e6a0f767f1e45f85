package org.almondslip.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.almondslip.catalog.CatalogObject.Target.Fencing;
import org.almondslip.store.FaultyStore;
import org.almondslip.store.FaultyStore.Fault;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Guards against two agents that send control commands to the same target. */
class ControlLeaseTest {

  private static final LeaseLimits LIMITS = new LeaseLimits(300, 50, 10, 100);

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final FaultyStore store = new FaultyStore(() -> Fault.NONE);

  /** Agent with its lease and gate. */
  private final class Agent {

    private final ControlLease lease;

    private final ControlGate gate;

    private Agent(String name, FaultyStore faulty) {
      lease = new ControlLease("t1", name, LIMITS, faulty, clock);
      gate = new ControlGate(lease, LIMITS, clock);
    }
  }

  private void advance(int millis, Agent... running) {
    for (int i = 0; i < millis; i += 10) {
      clock.advance(10);
      for (Agent agent : running) {
        agent.lease.onTick();
      }
      store.drain();
    }
  }

  @Test
  void pausedHolderSendsNothingAfterItsLeaseWasTakenOver() {
    Agent first = new Agent("a", store);
    Agent second = new Agent("b", store);
    advance(20, first, second);
    Permit permit = first.gate.permit(Fencing.IGNORED, 100).orElseThrow();
    assertThat(permit.token()).isEqualTo(1);
    advance(310, second);
    assertThat(second.lease.isHeld()).isTrue();
    assertThat(permit.allows(clock.millis())).as("permit issued before the pause").isFalse();
    assertThat(first.lease.isHeld()).isFalse();
    assertThat(first.gate.permit(Fencing.IGNORED, 1)).isEmpty();
    assertThat(first.gate.permit(Fencing.CHECKED, 1)).isEmpty();
  }

  @Test
  void newHolderWaitsUntilCommandsOfTheOldOneHaveEnded() {
    Agent first = new Agent("a", store);
    Agent second = new Agent("b", store);
    advance(20, first, second);
    advance(320, second);
    assertThat(second.lease.token()).isEqualTo(2);
    assertThat(second.gate.permit(Fencing.CHECKED, 100)).isPresent();
    assertThat(second.gate.permit(Fencing.IGNORED, 100)).isEmpty();
    advance(100, second);
    assertThat(second.gate.permit(Fencing.IGNORED, 100)).isPresent();
  }

  @Test
  void commandMustEndBeforeTheLeaseCanExpire() {
    Agent first = new Agent("a", store);
    advance(20, first);
    clock.advance(210);
    assertThat(first.gate.permit(Fencing.IGNORED, 100)).isEmpty();
    assertThat(first.gate.permit(Fencing.CHECKED, 100)).isPresent();
    assertThat(first.gate.permit(Fencing.CHECKED, 101)).isEmpty();
  }

  @Test
  void leaseCountsFromTheMomentBeforeItsWriteWasSent() {
    Agent first = new Agent("a", store);
    advance(10, first);
    clock.advance(50);
    first.lease.onTick();
    clock.advance(260);
    store.drain();
    assertThat(first.lease.isHeld()).as("renewal answered while it was valid").isTrue();
    clock.advance(40);
    assertThat(first.lease.isHeld()).isFalse();
  }

  @Test
  void holderKeepsTokenAcrossRenewals() {
    Agent first = new Agent("a", store);
    Agent second = new Agent("b", store);
    for (int i = 0; i < 100; i++) {
      advance(50, first, second);
    }
    assertThat(first.lease.isHeld()).isTrue();
    assertThat(first.lease.token()).isEqualTo(1);
    assertThat(second.lease.isHeld()).isFalse();
  }

  /** Runs three agents that pause at random while the store drops and delays their calls. */
  @Property(seed = "815", tries = 2_000, shrinking = ShrinkingMode.OFF)
  void commandsOfTwoHoldersNeverOverlap(@ForAll long seed) {
    Random random = new Random(seed);
    FaultyStore faulty =
        new FaultyStore(
            () ->
                random.nextInt(3) > 0
                    ? Fault.NONE
                    : Fault.values()[random.nextInt(Fault.values().length)]);
    List<Agent> agents = new ArrayList<>();
    long[] wakeAt = new long[3];
    for (int i = 0; i < 3; i++) {
      agents.add(new Agent("agent" + i, faulty));
    }
    long busyUntil = 0;
    int lastSender = 0;
    long lastToken = 0;
    for (int step = 0; step < 600; step++) {
      clock.advance(random.nextInt(10));
      if (random.nextInt(3) > 0) {
        faulty.step();
      }
      if (random.nextInt(4) == 0) {
        faulty.applyLateWrite(random);
      }
      assertThat(agents.stream().filter(agent -> agent.lease.isHeld()).count())
          .as("agents that hold the lease by their own clock")
          .isLessThanOrEqualTo(1);
      int who = random.nextInt(3);
      if (clock.millis() < wakeAt[who]) {
        continue;
      }
      if (random.nextInt(40) == 0) {
        wakeAt[who] = clock.millis() + random.nextInt(800);
        continue;
      }
      agents.get(who).lease.onTick();
      int duration = 1 + random.nextInt(100);
      Optional<Permit> permit = agents.get(who).gate.permit(Fencing.IGNORED, duration);
      if (permit.isPresent()) {
        assertThat(permit.get().token()).isGreaterThanOrEqualTo(lastToken);
        assertThat(who == lastSender || clock.millis() >= busyUntil)
            .as("a command of another holder is still running")
            .isTrue();
        lastToken = permit.get().token();
        lastSender = who;
        busyUntil = Math.max(busyUntil, clock.millis() + duration);
      }
    }
  }
}
