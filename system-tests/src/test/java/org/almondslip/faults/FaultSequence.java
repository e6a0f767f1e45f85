package org.almondslip.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A run with random requests and two or more random faults, reproducible from its seed. */
final class FaultSequence {

  private static final int REQUESTS = 24;
  private static final long SPACE_MILLIS = 400;
  private static final long SETTLE_MILLIS = 250_000;

  private final long seed;
  private final SplittableRandom random;
  private final FaultFleet fleet = new FaultFleet();
  private final List<String> orders = new ArrayList<>();

  private FaultSequence(long seed) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
  }

  static FaultSequence of(long seed) {
    return new FaultSequence(seed);
  }

  void run() {
    try {
      int faults = 2 + random.nextInt(4);
      for (int i = 0; i < faults; i++) {
        scheduleFault();
      }
      for (int i = 0; i < REQUESTS; i++) {
        submit(i);
        fleet.advance(random.nextLong(SPACE_MILLIS));
      }
      fleet.advance(SPACE_MILLIS * 10);
      fleet.healAndSettle(SETTLE_MILLIS);
      fleet.history().check();
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
  }

  private void scheduleFault() {
    Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
    int router = random.nextInt(2);
    int agent = random.nextInt(fleet.agents());
    long at = random.nextLong(REQUESTS * SPACE_MILLIS / 2);
    long healAfter = 500 + random.nextLong(9_000);
    fleet.timeline().after(at, () -> fault.strike(fleet, router, agent));
    fleet.timeline().after(at + healAfter, () -> heal(router, agent));
  }

  private void heal(int router, int agent) {
    fleet.network().heal();
    fleet.router(router).resume();
    fleet.agent(agent).resume();
    fleet.restartAgent(agent);
    fleet.restartRouter(router);
    fleet.store().setMode(FakeTableStore.Mode.UP);
  }

  private void submit(int index) {
    int router = random.nextInt(2);
    Workload.Kind kind = Workload.Kind.values()[random.nextInt(Workload.Kind.values().length)];
    String body = kind + "-" + index;
    if (kind == Workload.Kind.KEYED_ORDER && !orders.isEmpty() && random.nextBoolean()) {
      body = orders.get(random.nextInt(orders.size()));
    } else if (kind == Workload.Kind.KEYED_ORDER) {
      orders.add(body);
    }
    if (fleet.router(router).responsive()) {
      fleet.submit(router, body.hashCode() % 2 == 0 ? "hanbit" : "crockera", kind, body);
    }
  }
}
