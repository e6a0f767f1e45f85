package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import org.almondslip.directory.Directory;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.pace.FleetPace;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link DirectoryChanges} with evacuations; no connection is opened. */
class DirectoryChangesTest {

  private final Clock.Manual clock = new Clock.Manual(100_000);

  private final Vertx vertx = Vertx.vertx();

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
              FleetPace.unlimited(),
              () -> true));

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Guards against an evacuation that affects targets elsewhere, or not all of its own. */
  @Test
  void marksTargetsOfEvacuatedDataCentres() {
    directory.onTarget(target("a", "dc-a", 1));
    directory.onTarget(target("b", "dc-b", 2));
    directory.onTarget(target("c", "dc-c", 3));
    directory.onEvacuation("dc-a", true, 4);
    directory.onEvacuation("dc-b", true, 5);
    assertThat(load("a").acceptsRequests(clock.millis())).isFalse();
    assertThat(load("b").acceptsRequests(clock.millis())).isFalse();
    assertThat(load("c").acceptsRequests(clock.millis())).isTrue();
    directory.onEvacuation("dc-a", false, 6);
    assertThat(load("a").acceptsRequests(clock.millis())).isTrue();
    assertThat(load("b").acceptsRequests(clock.millis())).isFalse();
  }

  /** Guards against targets that appear, return or move during an evacuation and are used. */
  @Test
  void marksTargetsThatAppearReturnOrMove() {
    directory.onTarget(target("returns", "dc-a", 1));
    directory.onTarget(target("moves", "dc-b", 2));
    directory.onRemoved("returns", 3);
    directory.onEvacuation("dc-a", true, 4);
    directory.onTarget(target("returns", "dc-a", 5));
    directory.onTarget(target("appears", "dc-a", 6));
    directory.onTarget(target("moves", "dc-a", 7));
    assertThat(dispatcher.targets("s")).hasSize(3).noneMatch(TargetLoad::isInService);
    directory.onTarget(target("moves", "dc-b", 8));
    assertThat(load("moves").isInService()).isTrue();
  }

  /** Guards against a removed target that returns as evacuated although that was taken back. */
  @Test
  void rememberedTargetLearnsOfTheEnd() {
    directory.onTarget(target("a", "dc-a", 1));
    directory.onEvacuation("dc-a", true, 2);
    directory.onRemoved("a", 3);
    clock.advance(10);
    directory.onEvacuation("dc-a", false, 4);
    final long endedAt = clock.millis();
    clock.advance(10);
    directory.onTarget(target("a", "dc-a", 5));
    directory.onTarget(target("b", "dc-a", 6));
    assertThat(load("a").isInService()).isTrue();
    assertThat(load("a").evacuationEndedAt()).hasValue(endedAt);
    assertThat(load("b").evacuationEndedAt()).hasValue(endedAt);
  }

  /** Guards against an attempt that connects to a target removed before the evacuation. */
  @Test
  void marksRemovedTarget() {
    directory.onTarget(target("a", "dc-a", 1));
    TargetLoad removed = load("a");
    directory.onRemoved("a", 2);
    directory.onEvacuation("dc-a", true, 3);
    assertThat(removed.acceptsRequests(clock.millis())).isFalse();
  }

  /** Guards against a target whose evacuation ends anew with each change of its entry. */
  @Test
  void laterEntryDoesNotMoveTheEnd() {
    directory.onTarget(target("a", "dc-a", 1));
    assertThat(load("a").evacuationEndedAt()).isEmpty();
    directory.onEvacuation("dc-a", true, 2);
    directory.onEvacuation("dc-a", false, 3);
    final long endedAt = clock.millis();
    clock.advance(10);
    directory.onTarget(target("a", "dc-a", 4));
    assertThat(load("a").evacuationEndedAt()).hasValue(endedAt);
    directory.onEvacuation("dc-a", true, 5);
    directory.onEvacuation("dc-a", false, 6);
    assertThat(load("a").isInService()).isTrue();
    assertThat(load("a").evacuationEndedAt()).hasValue(endedAt + 10);
  }

  private TargetLoad load(String id) {
    return dispatcher.targets("s").stream()
        .filter(target -> target.record().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private static TargetRecord target(String id, String dataCentre, long revision) {
    return new TargetRecord(
        id, "s", "127.0.0.1", 80, dataCentre, 4, TargetRecord.State.READY, 1, revision);
  }
}
