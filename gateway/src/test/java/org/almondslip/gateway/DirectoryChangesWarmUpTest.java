package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.directory.Directory;
import org.almondslip.directory.IngressLimits;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.pace.FleetPace;
import org.almondslip.pace.PaceListener;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests {@link DirectoryChanges} with targets that need a warm-up. */
class DirectoryChangesWarmUpTest {

  private static final long COLD_MILLIS = 8_000;

  private final Vertx vertx = Vertx.vertx();

  private final Clock.Manual clock = new Clock.Manual(10_000);

  private final FleetPace pace = new FleetPace("a", 1.5, 5, PaceListener.NoOp.INSTANCE);

  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT);

  private final Directory directory =
      new Directory(
          clock,
          new DirectoryChanges(
              clock,
              dispatcher,
              new TargetConnectionPool(vertx, clock),
              pace,
              this::isDirectoryComplete));

  DirectoryChangesWarmUpTest() {
    pace.onRouters(Set.of("a"), 0);
    directory.onTable(
        new RoutingTable(
            1,
            List.of(),
            List.of(new ServicePolicy("s", 0, COLD_MILLIS, 10, "")),
            Map.of(),
            false,
            new IngressLimits(8_192, 65_536, 3_000, 15_000)));
    directory.onTarget(record(1, 0, 1));
    directory.onListed(Set.of("t"), 1);
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  /** Guards against targets that a router which has just started takes to be cold. */
  @Test
  void targetsOfTheFirstSnapshotAreWarm() {
    assertThat(isCold()).isFalse();
  }

  /** Guards against full load on a target that was replaced under its id during traffic. */
  @Test
  void newIncarnationDuringTrafficIsCold() {
    directory.onTarget(record(2, 0, 2));
    assertThat(isCold()).isTrue();
    clock.advance(COLD_MILLIS);
    assertThat(isCold()).isFalse();
  }

  /** Guards against a change of the entry that is noticed only with the next incarnation. */
  @Test
  void entryThatSaysColdTakesEffectAtOnce() {
    directory.onTarget(record(1, 5_000, 2));
    assertThat(isCold()).isTrue();
    directory.onTarget(record(1, 0, 3));
    assertThat(isCold()).isFalse();
  }

  /** Guards against forgetting that a target is cold while its entry has lapsed. */
  @Test
  void targetWhoseEntryReturnsStaysCold() {
    directory.onTarget(record(1, 5_000, 2));
    directory.onRemoved("t", 3);
    directory.onTarget(record(1, 5_000, 4));
    clock.advance(4_000);
    assertThat(isCold()).isTrue();
    clock.advance(1_000);
    assertThat(isCold()).isFalse();
  }

  private boolean isDirectoryComplete() {
    return directory.isComplete();
  }

  private boolean isCold() {
    return dispatcher.targets("s").iterator().next().pace().isCold(clock.millis());
  }

  private static TargetRecord record(long startMillis, long coldMillis, long revision) {
    return new TargetRecord(
        "t",
        "s",
        "127.0.0.1",
        80,
        "dc",
        "",
        4,
        TargetRecord.State.READY,
        startMillis,
        coldMillis,
        revision);
  }
}
