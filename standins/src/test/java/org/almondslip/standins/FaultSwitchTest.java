package org.almondslip.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which requests the faults hit. */
class FaultSwitchTest {

  /** Switch under test. */
  private final FaultSwitch faults = new FaultSwitch(1);

  /** Guards against experiments that cannot be repeated or hit all requests. */
  @Test
  void rateHitsTheSamePortionInEachRun() {
    List<Boolean> first = hits(new FaultSwitch(7));
    assertThat(hits(new FaultSwitch(7))).isEqualTo(first);
    assertThat(first.stream().filter(hit -> hit).count()).isBetween(200L, 300L);
  }

  /** Guards against a fault that goes on after its count or hits other paths. */
  @Test
  void countAndPathLimitTheFault() {
    faults.replace(FaultSwitch.parse("{\"mode\":\"lose\",\"count\":2,\"path\":\"/a\"}"));
    assertThat(faults.next("c", "/b")).isEmpty();
    assertThat(faults.next("c", "/a/1")).isPresent();
    assertThat(faults.next("c", "/a/2")).isPresent();
    assertThat(faults.next("c", "/a/3")).isEmpty();
    assertThat(faults.toJson().getJsonObject(0).getLong("hits")).isEqualTo(2);
  }

  /** Guards against faults that cannot be combined or ended. */
  @Test
  void listOfFaultsIsReplacedAsWhole() {
    faults.replace(
        FaultSwitch.parse(
            "[{\"mode\":\"fail\",\"path\":\"/a\"},{\"mode\":\"slow\",\"delay_ms\":5}]"));
    assertThat(faults.next("c", "/a").map(Fault::mode)).isEqualTo(Optional.of(FaultMode.FAIL));
    assertThat(faults.next("c", "/b").map(Fault::delayMillis)).isEqualTo(Optional.of(5L));
    faults.replace(FaultSwitch.parse("{}"));
    assertThat(faults.next("c", "/a")).isEmpty();
  }

  /** Guards against new connections that go silent with the open ones, and against recovery. */
  @Test
  void openConnectionsStaySilentForGood() {
    faults.next("old", "/a");
    faults.replace(FaultSwitch.parse("{\"mode\":\"silent-open\"}"));
    assertThat(faults.next("new", "/a")).isEmpty();
    faults.replace(List.of());
    assertThat(faults.next("old", "/a").map(Fault::mode)).isEqualTo(Optional.of(FaultMode.SILENT));
  }

  /** Guards against a typing mistake that leaves an experiment without its fault. */
  @Test
  void unknownModeIsRefused() {
    assertThatThrownBy(() -> FaultSwitch.parse("{\"mode\":\"slwo\"}"))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /**
   * Counts which of many requests a fault with a rate of a quarter hits.
   *
   * @param tested the switch
   * @return whether each request was hit
   */
  private static List<Boolean> hits(FaultSwitch tested) {
    tested.replace(FaultSwitch.parse("{\"mode\":\"fail\",\"rate\":0.25}"));
    List<Boolean> hits = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      hits.add(tested.next("c", "/").isPresent());
    }
    return hits;
  }
}
