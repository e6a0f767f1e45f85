package org.almondslip.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Predicate;
import org.almondslip.directory.TargetRecord;
import org.junit.jupiter.api.Test;

/** Tests {@link Placement}. */
class PlacementTest {

  private static final Predicate<TargetLoad> ANY = target -> true;

  /** Time of all calls in milliseconds. */
  private static final long NOW = 1_000;

  private final Placement placement = new Placement("near", EngineModel.DEFAULT);

  /** Target in the data centre of the router. */
  private final TargetLoad near = load("near-1", "near", TargetRecord.State.READY);

  /** Another target in the data centre of the router. */
  private final TargetLoad other = load("near-2", "near", TargetRecord.State.READY);

  /** Target in another data centre. */
  private final TargetLoad far = load("far-1", "far", TargetRecord.State.READY);

  /**
   * Guards against prefilling a shared segment again while a target that caches it has capacity.
   */
  @Test
  void prefersTargetThatCachesTheSharedSegment() {
    far.onSent(prompt(1, 10));
    far.onPrefilled(6_000);
    far.onEnded();
    assertThat(chosen(prompt(1, 11))).isEqualTo("far-1");
  }

  /** Guards against queueing requests for a shared segment at one target while others are idle. */
  @Test
  void spreadsWhenTheTargetIsBusy() {
    for (int i = 0; i < 60; i++) {
      far.onSent(prompt(1, 100 + i));
    }
    assertThat(chosen(prompt(1, 11))).isNotEqualTo("far-1");
  }

  /** Guards against unnecessary traffic between data centres. */
  @Test
  void prefersOwnDataCentre() {
    assertThat(placement.choose(List.of(far, near), Prompt.NONE, ANY, NOW))
        .map(choice -> choice.load().record().id())
        .contains("near-1");
  }

  /** Guards against choosing a target that is draining, was tried or has just failed. */
  @Test
  void avoidsIneligibleTargets() {
    near.onFailure(NOW);
    near.onFailure(NOW);
    TargetLoad draining = load("near-3", "near", TargetRecord.State.DRAINING);
    assertThat(
            placement.choose(
                List.of(near, draining, other, far), Prompt.NONE, this::isUntried, NOW))
        .map(choice -> choice.load().record().id())
        .contains("far-1");
  }

  /** Guards against ignoring the load of other routers, or counting it after they are gone. */
  @Test
  void countsReportsUntilTheyExpire() {
    near.onPeerReport("router-2", 40_000, 20, NOW);
    assertThat(near.pendingPrefillTokens(NOW)).isEqualTo(40_000);
    assertThat(near.requests(NOW)).isEqualTo(20);
    assertThat(near.pendingPrefillTokens(NOW + TargetLoad.REPORT_EXPIRY_MILLIS)).isZero();
  }

  /** Guards against a cache model without eviction. */
  @Test
  void evictsSegmentsBeyondTheCapacity() {
    TargetLoad small = new TargetLoad(record("small", "near", TargetRecord.State.READY), 13_000);
    small.onSent(prompt(1, 10));
    assertThat(small.uncachedTokens(prompt(1, 11))).isEqualTo(1_000);
    small.onSent(prompt(2, 20));
    small.onSent(prompt(3, 30));
    assertThat(small.uncachedTokens(prompt(1, 11))).isEqualTo(6_000);
  }

  private boolean isUntried(TargetLoad target) {
    return !target.record().id().equals("near-2");
  }

  /**
   * Chooses among all targets.
   *
   * @param prompt the prompt
   * @return the id of the chosen target
   */
  private String chosen(Prompt prompt) {
    return placement
        .choose(List.of(near, other, far), prompt, ANY, NOW)
        .orElseThrow()
        .load()
        .record()
        .id();
  }

  /**
   * Creates a prompt with a shared segment of 5,000 tokens and a unique one of 1,000.
   *
   * @param shared the id of the shared segment
   * @param unique the id of the unique segment
   * @return the prompt
   */
  private static Prompt prompt(long shared, long unique) {
    return new Prompt(
        List.of(new Prompt.Segment(shared, 5_000), new Prompt.Segment(unique, 1_000)), 6_000, 100);
  }

  /** Creates an idle engine whose cache holds 1,000,000 tokens. */
  private static TargetLoad load(String id, String dataCentre, TargetRecord.State state) {
    return new TargetLoad(record(id, dataCentre, state), 1_000_000);
  }

  /** Creates the directory entry of a target. */
  private static TargetRecord record(String id, String dataCentre, TargetRecord.State state) {
    return new TargetRecord(id, "s", "127.0.0.1", 80, dataCentre, 64, state, 0, 1);
  }
}
