package org.almondslip.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of {@link Evacuations}. */
class EvacuationsTest {

  private final Evacuations evacuations = new Evacuations();

  /** Guards against one evacuation that replaces or ends another one. */
  @Test
  void keepsTwoDataCentresApart() {
    assertThat(evacuations.onRow("a", true, 5)).isTrue();
    assertThat(evacuations.onRow("b", true, 6)).isTrue();
    assertThat(evacuations.dataCentres()).containsExactlyInAnyOrder("a", "b");
    assertThat(evacuations.onRow("a", false, 7)).isTrue();
    assertThat(evacuations.contains("a")).isFalse();
    assertThat(evacuations.contains("b")).isTrue();
  }

  /** Guards against older news that ends an evacuation or restores one that was taken back. */
  @Test
  void ignoresOlderRows() {
    evacuations.onRow("a", true, 5);
    assertThat(evacuations.onRow("a", false, 4)).isFalse();
    assertThat(evacuations.contains("a")).isTrue();
    evacuations.onRow("a", false, 9);
    assertThat(evacuations.onRow("a", true, 8)).isFalse();
    assertThat(evacuations.contains("a")).isFalse();
  }

  /** Guards against a change that is reported although nothing changes. */
  @Test
  void reportsRepeatedRowOnce() {
    assertThat(evacuations.onRow("a", true, 5)).isTrue();
    assertThat(evacuations.onRow("a", true, 6)).isFalse();
    assertThat(evacuations.onRow("a", false, 6)).isFalse();
    assertThat(evacuations.onRow("a", false, 7)).isTrue();
  }

  /** Guards against an evacuation that lasts for ever since its removal was in lost history. */
  @Test
  void endsEvacuationMissingFromSnapshot() {
    evacuations.onRow("a", true, 5);
    evacuations.onRow("b", true, 6);
    assertThat(evacuations.onListed(Set.of("b"), 8)).containsExactly("a");
    assertThat(evacuations.dataCentres()).containsExactly("b");
    assertThat(evacuations.onRow("a", true, 7)).isFalse();
    assertThat(evacuations.onRow("a", true, 9)).isTrue();
  }

  /** Guards against a snapshot that ends an evacuation which is newer than the snapshot. */
  @Test
  void keepsEvacuationNewerThanSnapshot() {
    evacuations.onRow("a", true, 9);
    assertThat(evacuations.onListed(Set.of(), 8)).isEmpty();
    assertThat(evacuations.contains("a")).isTrue();
  }

  /** Guards against a listed row that has no effect since it could not be read. */
  @Test
  void listedRowEvacuates() {
    evacuations.onRow("a", false, 3);
    assertThat(evacuations.onListed(Set.of("a", "b"), 4)).containsExactly("a", "b");
    assertThat(evacuations.dataCentres()).containsExactlyInAnyOrder("a", "b");
  }
}
