package org.almondslip.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.directory.TargetRecord;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests {@link TargetSpeed} and {@link SpeedMeasurement}. */
class TargetSpeedTest {

  private static final Prompt PROMPT = new Prompt(List.of(), 4_820, 10);

  private final Placement placement =
      new Placement("dc", EngineModel.DEFAULT, RandomSource.SPLIT_MIX_64.create(20261206L));

  private final ServiceSpeed service = new ServiceSpeed();

  private final TargetLoad first = target("first", 1_000_000);

  private final TargetLoad second = target("second", 1_000_000);

  private long now = 1_000;

  /** Guards against another placement for services whose targets state no duration of work. */
  @Test
  void placementIsUnchangedWithoutDurationOfWork() {
    for (int i = 0; i < 50; i++) {
      first.speed().onStatus(status(20, OptionalInt.empty()), now);
      measure(first, PROMPT, 1_000);
      first.onFirstEvent(1_000, 100);
    }
    assertThat(first.prefillFactor(now)).isEqualTo(first.slowdown()).isGreaterThan(1);
    assertThat(first.requests(now)).isZero();
    assertThat(first.speed().reportedPermille(now)).isEmpty();
    double expected = EngineModel.DEFAULT.prefillMillis(4_820) * first.slowdown();
    assertThat(placement.expectedDelayMillis(first, PROMPT, now)).isEqualTo(expected);
    for (int i = 0; i < 50; i++) {
      second.onPeerReport("other", 1, 0, now);
      assertThat(chosen(PROMPT, second, target("third", 1_000_000))).isEqualTo("third");
    }
  }

  /** Guards against a service that stays governed by figures which its targets no longer send. */
  @Test
  void estimatesEndAfterTheLastFigure() {
    state(first, 100);
    assertThat(second.speed().isInForce(now)).isTrue();
    now += ServiceSpeed.IN_FORCE_MILLIS;
    assertThat(second.speed().isInForce(now)).isFalse();
  }

  /** Guards against figures that attract or repel all requests. */
  @Test
  void absurdFiguresAreIgnored() {
    state(first, 100);
    for (int percent : new int[] {0, -250, 10_001, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
      assertThat(first.speed().onStatus(status(1, OptionalInt.of(percent)), now)).isFalse();
    }
    assertThat(first.speed().onStatus(status(65, OptionalInt.of(250)), now)).isFalse();
    assertThat(first.speed().onStatus(status(-1, OptionalInt.of(250)), now)).isFalse();
    assertThat(first.speed().onStatus(status(1, OptionalInt.empty()), now)).isFalse();
    assertThat(first.speed().onStatus(Optional.empty(), now)).isFalse();
    assertThat(first.speed().workPercent(now)).isEqualTo(100);
    assertThat(first.requests(now)).isEqualTo(1);
    assertThat(service.ignoredFigures()).isEqualTo(9);
  }

  /** Guards against a report that makes a target look arbitrarily fast or slow. */
  @Property(seed = "20261206", tries = 500)
  void reportsKeepTheFactorWithinBounds(
      @ForAll int permille, @ForAll int samples, @ForAll int work, @ForAll int age) {
    state(first, 100);
    first.speed().onPeerReport("other", permille, samples, work, age, now);
    first.speed().onPeerReport("next", permille & 0xFFF, samples & 0xFFFF, work & 0xFFFF, 0, now);
    now += ServiceSpeed.MERGE_INTERVAL_MILLIS;
    assertThat(first.prefillFactor(now)).isBetween(0.25 * 0.25, 4.0 * 10);
    assertThat(first.speed().speedPermille()).isBetween(250, 4_000);
  }

  /** Guards against a figure that has an effect after the period that it describes. */
  @Test
  void durationOfWorkDecaysWithin600Millis() {
    state(first, 250);
    assertThat(first.speed().workPercent(now)).isEqualTo(250);
    assertThat(first.speed().workPercent(now + 300)).isEqualTo(175);
    assertThat(first.speed().workPercent(now + 600)).isEqualTo(100);
    first.speed().onPeerReport("other", 0, 0, 400, 500, now);
    assertThat(first.speed().workPercent(now)).as("an older figure").isEqualTo(250);
    first.speed().onPeerReport("other", 0, 0, 400, 300, now + 400);
    assertThat(first.speed().workPercent(now + 400)).as("a newer figure").isEqualTo(250);
  }

  /** Guards against a target that breaks off its streams early and is preferred as fast. */
  @Test
  void abortedStreamsDoNotCount() {
    state(first, 100);
    for (int i = 0; i < 100; i++) {
      placement.measure(first, PROMPT, now).onFirstEvent(now + 1);
      measure(second, PROMPT, 100);
    }
    now += ServiceSpeed.MERGE_INTERVAL_MILLIS;
    assertThat(first.prefillFactor(now)).isGreaterThanOrEqualTo(second.prefillFactor(now));
    assertThat(first.speed().reportedPermille(now)).isEmpty();
  }

  /** Guards against a whole service that looks slow because of network and decoding steps. */
  @Test
  void onlyDifferencesBetweenTargetsCount() {
    state(first, 100);
    for (int i = 0; i < 200; i++) {
      measure(first, PROMPT, 400);
      measure(second, PROMPT, 400);
    }
    now += ServiceSpeed.MERGE_INTERVAL_MILLIS;
    first.prefillFactor(now);
    assertThat(first.speed().speedPermille()).isBetween(990, 1_010);
    assertThat(second.speed().speedPermille()).isBetween(990, 1_010);
  }

  /** Guards against requests that are sent to a target which others have filled meanwhile. */
  @Test
  void statedRequestsCountWhileTheyAreFresh() {
    state(first, 100);
    first.speed().onStatus(status(40, OptionalInt.of(100)), now);
    assertThat(first.requests(now)).isEqualTo(40);
    first.onSent(PROMPT);
    assertThat(first.requests(now)).isEqualTo(41);
    first.onPeerReport("other", 0, 50, now);
    assertThat(first.requests(now)).isEqualTo(51);
    first.onPeerReport("other", 0, 0, now);
    assertThat(first.requests(now + StatedRequests.EXPIRY_MILLIS)).isEqualTo(1);
  }

  /** Guards against plain targets whose speed and current work are ignored. */
  @Test
  void plainTargetsAreChosenBySpeedAndWork() {
    TargetLoad fast = target("fast", 0);
    TargetLoad slow = target("slow", 0);
    state(fast, 100);
    for (int i = 0; i < 50; i++) {
      measure(fast, Prompt.NONE, 30);
      measure(slow, Prompt.NONE, 120);
    }
    now += ServiceSpeed.MERGE_INTERVAL_MILLIS;
    assertThat(chosen(Prompt.NONE, fast, slow)).isEqualTo("fast");
    for (int i = 0; i < 50; i++) {
      state(fast, 1_000);
      assertThat(chosen(Prompt.NONE, fast, slow)).isEqualTo("slow");
    }
  }

  /** Guards against targets of another region that look slow because of the network. */
  @Test
  void networkOfAnotherDataCentreIsNoSlowness() {
    TargetLoad near = target("near", 0);
    TargetLoad far =
        new TargetLoad(
            new TargetRecord(
                "far", "s", "127.0.0.1", 80, "far", 64, TargetRecord.State.READY, 0, 1),
            0);
    far.speed().join(service);
    state(near, 100);
    for (int i = 0; i < 200; i++) {
      measure(near, Prompt.NONE, 30);
      measure(far, Prompt.NONE, 90);
    }
    now += ServiceSpeed.MERGE_INTERVAL_MILLIS;
    assertThat(near.speed().requestMillis(now) / far.speed().requestMillis(now))
        .isBetween(0.8, 1.25);
  }

  private TargetLoad target(String id, long cacheTokens) {
    TargetLoad load =
        new TargetLoad(
            new TargetRecord(id, "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1),
            cacheTokens);
    load.speed().join(service);
    return load;
  }

  /** Records a response of a target with the duration of work and one running request. */
  private void state(TargetLoad target, int percent) {
    assertThat(target.speed().onStatus(status(1, OptionalInt.of(percent)), now)).isTrue();
  }

  private static Optional<TargetStatus> status(int running, OptionalInt percent) {
    return Optional.of(new TargetStatus(running, 0, 64, percent));
  }

  /** Records a complete response. */
  private void measure(TargetLoad target, Prompt prompt, long millis) {
    SpeedMeasurement measurement = placement.measure(target, prompt, now);
    measurement.onFirstEvent(now + millis);
    measurement.onComplete(now + millis);
  }

  private String chosen(Prompt prompt, TargetLoad... targets) {
    return placement
        .choose(new ArrayList<>(List.of(targets)), prompt, any -> true, now)
        .orElseThrow()
        .load()
        .record()
        .id();
  }
}
