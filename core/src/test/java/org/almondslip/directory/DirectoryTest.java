package org.almondslip.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

class DirectoryTest {

  private static final IngressLimits LIMITS = new IngressLimits(1, 1, 1, 1);

  private final Clock.Manual clock = new Clock.Manual(100_000);

  /** Notifications of the listener, in the order of their arrival. */
  private final List<String> notifications = new ArrayList<>();

  private final Directory directory =
      new Directory(
          clock,
          new Directory.Listener() {
            @Override
            public void onTable(RoutingTable table) {
              notifications.add("table " + table.version());
            }

            @Override
            public void onTarget(TargetRecord target) {
              notifications.add("target " + target.id() + " " + target.state());
            }

            @Override
            public void onRemoved(TargetRecord target) {
              notifications.add("removed " + target.id());
            }

            @Override
            public void onEvacuation(String dataCentre, boolean evacuated) {
              notifications.add((evacuated ? "evacuated " : "usable ") + dataCentre);
            }
          });

  /** A delayed response of the store must not restore older routes. */
  @Test
  void ignoresOlderTable() {
    assertThat(directory.onTable(table(7))).isTrue();
    assertThat(directory.onTable(table(6))).isFalse();
    assertThat(directory.onTable(table(7))).isFalse();
    assertThat(directory.table()).map(RoutingTable::version).contains(7L);
  }

  /** A delayed row must not restore a removed target. */
  @Test
  void ignoresOlderEntry() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onRemoved("a", 9);
    directory.onTarget(target("a", 8, 1, TargetRecord.State.READY));
    assertThat(directory.targets()).isEmpty();
  }

  /** State of an earlier incarnation must not be kept for a new one with the same id. */
  @Test
  void newIncarnationReplacesOldOne() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onTarget(target("a", 6, 2, TargetRecord.State.READY));
    assertThat(notifications).containsExactly("target a READY", "removed a", "target a READY");
  }

  /** A target must be removed even if its removal is missing from the change history. */
  @Test
  void removesTargetsMissingFromList() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onTarget(target("b", 6, 1, TargetRecord.State.READY));
    directory.onListed(Set.of("b"), 10);
    assertThat(directory.targets()).extracting(TargetRecord::id).containsExactly("b");
  }

  /** A live target must not be removed because its entry expires during a store outage. */
  @Test
  void keepsExpiredTargetDuringGracePeriod() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    directory.onRemoved("a", 6);
    clock.advance(Directory.EXPIRY_GRACE_MILLIS - 1);
    directory.tick();
    assertThat(directory.targets()).hasSize(1);
    clock.advance(1);
    directory.tick();
    assertThat(directory.targets()).isEmpty();
  }

  /**
   * A target must not receive requests after its drain time. A removal after the grace period is
   * therefore final, because expired entries would have been registered again by then.
   */
  @Test
  void removesImmediatelyAfterGracePeriod() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    clock.advance(Directory.EXPIRY_GRACE_MILLIS);
    directory.onRemoved("a", 6);
    assertThat(directory.targets()).isEmpty();
  }

  /** A removed target must not be kept for as long as the store keeps failing. */
  @Test
  void removesAfterGracePeriodDuringRepeatedOutages() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    directory.onRemoved("a", 6);
    for (int i = 0; i < 10; i++) {
      clock.advance(Directory.EXPIRY_GRACE_MILLIS / 10);
      directory.onOutage();
    }
    directory.tick();
    assertThat(directory.targets()).isEmpty();
  }

  /** An expired target that registers again must not be removed. */
  @Test
  void keepsExpiredTargetThatRegistersAgain() {
    directory.onTarget(target("a", 5, 1, TargetRecord.State.READY));
    directory.onOutage();
    directory.onRemoved("a", 6);
    directory.onTarget(target("a", 7, 1, TargetRecord.State.READY));
    clock.advance(Directory.EXPIRY_GRACE_MILLIS);
    directory.tick();
    assertThat(directory.targets()).hasSize(1);
  }

  /** Requests must not be assigned before the list of targets is known. */
  @Test
  void isCompleteOnlyWithRoutesAndTargets() {
    assertThat(directory.isComplete()).isFalse();
    directory.onTable(table(1));
    assertThat(directory.isComplete()).isFalse();
    directory.onListed(Set.of(), 1);
    assertThat(directory.isComplete()).isTrue();
  }

  /** An evacuation must be known before the first table, and survive an outage of the store. */
  @Test
  void keepsEvacuationWithoutTableAndDuringOutage() {
    directory.onEvacuation("dc", true, 3);
    directory.onEvacuationsListed(Set.of("dc"), 4);
    for (int i = 0; i < 100; i++) {
      directory.onOutage();
      clock.advance(1_000);
      directory.tick();
    }
    assertThat(directory.evacuatedDataCentres()).containsExactly("dc");
    assertThat(notifications).containsExactly("evacuated dc");
  }

  /** The listener must learn of each change once, whether a row or a snapshot brings it. */
  @Test
  void notifiesOfEvacuationsOnce() {
    directory.onEvacuation("a", true, 3);
    directory.onEvacuation("a", true, 3);
    directory.onEvacuation("b", true, 4);
    directory.onEvacuation("b", false, 6);
    directory.onEvacuation("b", true, 5);
    directory.onEvacuationsListed(Set.of(), 7);
    directory.onEvacuationsListed(Set.of(), 8);
    assertThat(notifications).containsExactly("evacuated a", "evacuated b", "usable b", "usable a");
  }

  private static RoutingTable table(long version) {
    return new RoutingTable(version, List.of(), List.of(), Map.of(), false, LIMITS);
  }

  private static TargetRecord target(
      String id, long revision, long startMillis, TargetRecord.State state) {
    return new TargetRecord(id, "s", "127.0.0.1", 80, "dc", 4, state, startMillis, revision);
  }
}
