package org.almondslip.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.almondslip.protocol.wire.Frame;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Every fault at every step of a request's life. Each cell guards against an answer that is lost,
 * mixed up or repeated, an order that runs twice, and a refusal that wrongly says "not run".
 */
class FaultMatrixTest {

  private static final long BEFORE_REPEAT_MILLIS = 12_000;
  private static final long SETTLE_MILLIS = 90_000;

  /** Number of the request under test. */
  private static final long FIRST = 1;

  private static int cells;
  private static int struck;

  /** One cell of the matrix. */
  private record Cell(Workload.Kind kind, Step step, Fault fault) {

    String title() {
      return kind + " at " + step + " with " + fault;
    }
  }

  @TestFactory
  Stream<DynamicTest> everyFaultAtEveryStep() {
    List<Cell> all = new ArrayList<>();
    for (Workload.Kind kind : Workload.Kind.values()) {
      for (Step step : Step.values()) {
        for (Fault fault : Fault.values()) {
          if (step != Step.CLAIMING || kind == Workload.Kind.KEYED_ORDER) {
            all.add(new Cell(kind, step, fault));
          }
        }
      }
    }
    return all.stream().map(cell -> DynamicTest.dynamicTest(cell.title(), () -> run(cell)));
  }

  @AfterAll
  static void printCounts() {
    System.out.println("fault matrix: " + cells + " cells ran, the fault struck in " + struck);
  }

  private static void run(Cell cell) {
    FaultFleet fleet = new FaultFleet();
    Trigger trigger = new Trigger(fleet, cell);
    fleet.network().setObserver(trigger);
    fleet.history().setOnRun(trigger::onRun);
    fleet.store().setOnTransact(trigger::onTransact);
    final long first = fleet.submit(0, "hanbit", cell.kind(), "first");
    final long neighbour = fleet.submit(1, "crockera", Workload.Kind.STREAM, "neighbour");
    fleet.advance(BEFORE_REPEAT_MILLIS);
    if (cell.kind() == Workload.Kind.KEYED_ORDER) {
      fleet.submit(1, "hanbit", cell.kind(), "first");
    }
    fleet.healAndSettle(SETTLE_MILLIS);
    fleet.history().check();
    checkCompletion(fleet, cell, first, neighbour);
    cells++;
    struck += trigger.struck ? 1 : 0;
  }

  private static void checkCompletion(FaultFleet fleet, Cell cell, long first, long neighbour) {
    boolean afterDispatch = cell.step().ordinal() > Step.DISPATCHED.ordinal();
    if (cell.fault().planned() && (afterDispatch || cell.fault() != Fault.DRAIN_ROUTER)) {
      assertThat(fleet.history().submission(first).completed())
          .as("a planned stop cut off %s", cell.title())
          .isTrue();
    }
    if (cell.kind() == Workload.Kind.STREAM && !cell.fault().killsRouter()) {
      assertThat(fleet.history().submission(first).outcome()).isPresent();
    }
    if (cell.fault() == Fault.KILL_ROUTER || cell.fault().planned()) {
      assertThat(fleet.history().submission(neighbour).completed())
          .as("a request of another router failed beside %s", cell.title())
          .isTrue();
    }
  }

  /** Strikes once, when the first request reaches the step. */
  private static final class Trigger implements Network.Observer {

    private final FaultFleet fleet;
    private final Cell cell;
    private boolean struck;
    private int holder;

    Trigger(FaultFleet fleet, Cell cell) {
      this.fleet = fleet;
      this.cell = cell;
    }

    @Override
    public void onSent(Node from, Node to, Frame frame) {
      if (frame.hasDispatch()) {
        agentBetween(from, to).ifPresent(agent -> holder = agent);
      }
      if (cell.step().matches(frame)) {
        agentBetween(from, to).ifPresent(this::strike);
      }
    }

    void onRun(long submission) {
      if (cell.step() == Step.RUNNING && submission == FIRST) {
        strike(holder);
      }
    }

    void onTransact() {
      if (cell.step() == Step.CLAIMING) {
        strike(holder);
      }
    }

    private void strike(int agent) {
      if (!struck) {
        struck = true;
        fleet.timeline().after(0, () -> cell.fault().strike(fleet, 0, agent));
      }
    }

    private Optional<Integer> agentBetween(Node from, Node to) {
      for (int i = 0; i < fleet.agents(); i++) {
        AgentNode agent = fleet.agent(i);
        boolean joins =
            from == agent && to == fleet.router(0) || to == agent && from == fleet.router(0);
        if (joins) {
          return Optional.of(i);
        }
      }
      return Optional.empty();
    }
  }
}
