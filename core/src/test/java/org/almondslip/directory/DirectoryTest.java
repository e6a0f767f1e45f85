package org.almondslip.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Cases of {@link Directory}. */
class DirectoryTest {

  /** Limits of the tables. */
  private static final IngressLimits LIMITS = new IngressLimits(1, 1, 1, 1);

  /** Source of time. */
  private final Clock.Manual clock = new Clock.Manual(100_000);

  /** Changes that were reported. */
  private final List<String> changes = new ArrayList<>();

  /** Directory under test. */
  private final Directory directory =
      new Directory(
          clock,
          new Directory.Listener() {
            @Override
            public void onTable(RoutingTable table) {
              changes.add("table " + table.version());
            }

            @Override
            public void onTarget(TargetRecord target) {
              changes.add("target " + target.id() + " " + target.state());
            }

            @Override
            public void onRemoved(TargetRecord target) {
              changes.add("removed " + target.id());
            }
          });

  /** Guards against a late answer of the store that brings back older routes. */
  @Test
  void ignoresOlderTable() {
    assertThat(directory.onTable(table(7))).isTrue();
    assertThat(directory.onTable(table(6))).isFalse();
    assertThat(directory.onTable(table(7))).isFalse();
    assertThat(directory.table()).map(RoutingTable::version).contains(7L);
  }

  /** Guards against a late row that revives a target that has left. */
  @Test
  void ignoresOlderEntry() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onRemoved("a", 9);
    directory.onTarget(target("a", 8, 1, TargetRecord.State.READY));
    assertThat(directory.targets()).isEmpty();
  }

  /** Guards against keeping the state of an earlier incarnation under the same id. */
  @Test
  void replacesIncarnation() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onTarget(target("a", 6, 2, TargetRecord.State.READY));
    assertThat(changes).containsExactly("target a READY", "removed a", "target a READY");
  }

  /** Guards against a target that leaves while its removal is in the lost part of the history. */
  @Test
  void removesTargetsMissingFromList() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onTarget(target("b", 6, 1, TargetRecord.State.READY));
    directory.onListed(Set.of("b"), 10);
    assertThat(directory.targets()).extracting(TargetRecord::id).containsExactly("b");
  }

  /** Guards against dropping live targets whose entries lapse while the store is away. */
  @Test
  void keepsLapsedTargetForTheGracePeriod() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    directory.onRemoved("a", 6);
    clock.advance(Directory.LAPSE_GRACE_MILLIS - 1);
    directory.tick();
    assertThat(directory.targets()).hasSize(1);
    clock.advance(1);
    directory.tick();
    assertThat(directory.targets()).isEmpty();
  }

  /**
   * Guards against sending requests to a target beyond its drain time: an entry that is removed
   * when lapsed ones have had their time to come back is gone.
   */
  @Test
  void removesAtOnceWhenLapsedEntriesHadTimeToReturn() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    clock.advance(Directory.LAPSE_GRACE_MILLIS);
    directory.onRemoved("a", 6);
    assertThat(directory.targets()).isEmpty();
  }

  /**
   * Guards against a removed target that is kept for as long as the store fails again and again.
   */
  @Test
  void removesAfterTheGracePeriodWhileTheStoreFails() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    directory.onRemoved("a", 6);
    for (int i = 0; i < 10; i++) {
      clock.advance(Directory.LAPSE_GRACE_MILLIS / 10);
      directory.onOutage();
    }
    directory.tick();
    assertThat(directory.targets()).isEmpty();
  }

  /** Guards against removing a lapsed target that has registered again. */
  @Test
  void forgetsLapseOfReturnedTarget() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    directory.onRemoved("a", 6);
    directory.onTarget(target("a", 7, 1, TargetRecord.State.READY));
    clock.advance(Directory.LAPSE_GRACE_MILLIS);
    directory.tick();
    assertThat(directory.targets()).hasSize(1);
  }

  /** Guards against placing requests before the list of targets was read once. */
  @Test
  void isCompleteOnlyWithRoutesAndTargets() {
    assertThat(directory.isComplete()).isFalse();
    directory.onTable(table(1));
    assertThat(directory.isComplete()).isFalse();
    directory.onListed(Set.of(), 1);
    assertThat(directory.isComplete()).isTrue();
  }

  /**
   * Creates a table.
   *
   * @param version its version
   * @return the table
   */
  private static RoutingTable table(long version) {
    return new RoutingTable(version, List.of(), List.of(), Map.of(), false, LIMITS);
  }

  /**
   * Creates an entry.
   *
   * @param id the id of the target
   * @param revision the revision of the entry
   * @param born the start of the incarnation
   * @param state the state
   * @return the entry
   */
  private static TargetRecord target(
      String id, long revision, long born, TargetRecord.State state) {
    return new TargetRecord(id, "s", "127.0.0.1", 80, "dc", 4, state, born, revision);
  }
}
