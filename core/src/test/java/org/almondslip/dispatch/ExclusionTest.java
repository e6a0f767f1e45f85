package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.almondslip.directory.TargetRecord;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.residency.AllowedRegions;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link Dispatcher} with region rules and evacuated targets. */
class ExclusionTest {

  private static final AllowedRegions NORTH = AllowedRegions.of(List.of("north"));

  private static final long OBJECTIVE_MILLIS = 1_000;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT);

  /** Guards against a request that is sent to a data centre which is evacuated. */
  @Test
  void evacuatedTargetReceivesNothing() {
    TargetLoad evacuated = add("a", "north");
    TargetLoad other = add("b", "north");
    evacuated.onEvacuated();
    for (int i = 0; i < 5; i++) {
      TestJob job = submit(job(i));
      assertThat(job.target()).contains(other);
      job.end();
    }
  }

  /** Guards against a request that waits for the segments cached in an evacuated data centre. */
  @Test
  void requestDoesNotWaitForSegmentsCachedAtEvacuatedTarget() {
    TargetLoad caching = add("a", "north");
    submit(job(1)).end();
    TargetLoad other = add("b", "north");
    assertThat(caching.uncachedTokens(job(1).prompt()))
        .isLessThan(other.uncachedTokens(job(1).prompt()));
    caching.onEvacuated();
    assertThat(submit(job(1)).target()).contains(other);
  }

  /** Guards against a target that stays unused after its evacuation was taken back. */
  @Test
  void targetIsUsedAgainAfterEvacuation() {
    TargetLoad target = add("a", "north");
    target.onEvacuated();
    target.onEvacuationEnded(clock.millis());
    assertThat(target.evacuationEndedAt()).hasValue(clock.millis());
    assertThat(submit(job(1)).target()).contains(target);
  }

  /** Guards against a request that waits although all targets are evacuated. */
  @Test
  void refusesAtOnceWhenAllTargetsAreEvacuated() {
    add("a", "north").onEvacuated();
    add("b", "south").onEvacuated();
    TestJob job = submit(job(1));
    assertThat(job.refusal()).contains(RefusalReason.NO_TARGET);
    assertThat(Exclusion.of(job, dispatcher.targets("s"))).contains(Exclusion.EVACUATION);
  }

  /** Guards against a queued request that is sent to a target evacuated meanwhile, or waits on. */
  @Test
  void refusesQueuedRequestWhenItsTargetsAreEvacuated() {
    TargetLoad target = add("a", "north");
    target.onPeerReport("router-2", 9_000, 1, clock.millis());
    TestJob job = submit(job(1));
    assertThat(job.target()).isEmpty();
    assertThat(job.refusal()).isEmpty();
    target.onEvacuated();
    dispatcher.tick();
    assertThat(job.target()).isEmpty();
    assertThat(job.refusal()).contains(RefusalReason.NO_TARGET);
    assertThat(dispatcher.waiting()).isZero();
  }

  /** Guards against a queued request that is sent by rules which were narrowed meanwhile. */
  @Test
  void refusesQueuedRequestWhenItsRegionsAreNarrowed() {
    TargetLoad target = add("a", "south");
    target.onPeerReport("router-2", 9_000, 1, clock.millis());
    TestJob job = submit(job(1));
    assertThat(job.refusal()).isEmpty();
    job.allow(NORTH);
    clock.advance(2_000);
    dispatcher.tick();
    assertThat(job.target()).isEmpty();
    assertThat(job.refusal()).contains(RefusalReason.NO_TARGET);
  }

  /** Guards against a restricted request that is sent to another region, or refused needlessly. */
  @Test
  void restrictedRequestReachesOnlyAllowedRegion() {
    TargetLoad north = add("a", "north");
    add("b", "south");
    add("c", "");
    for (int i = 0; i < 5; i++) {
      TestJob job = submit(job(i).allow(NORTH));
      assertThat(job.target()).contains(north);
      job.end();
    }
  }

  /** Guards against a restricted request that waits for targets which are not in its regions. */
  @Test
  void refusesRestrictedRequestAtOnceWithoutAllowedTarget() {
    TestJob empty = submit(job(1).allow(NORTH));
    assertThat(empty.refusal()).contains(RefusalReason.NO_TARGET);
    add("b", "south");
    add("c", "");
    TestJob job = submit(job(1).allow(NORTH));
    assertThat(job.refusal()).contains(RefusalReason.NO_TARGET);
    assertThat(Exclusion.of(job, dispatcher.targets("s"))).contains(Exclusion.REGION);
  }

  /** Guards against refusals of unrestricted requests while entries of targets have lapsed. */
  @Test
  void unrestrictedRequestWaitsForMissingTargets() {
    TestJob job = submit(job(1));
    dispatcher.tick();
    assertThat(job.refusal()).isEmpty();
    TargetLoad target = add("a", "south");
    assertThat(job.target()).contains(target);
  }

  /** Guards against a queued request of one region that keeps others from idle targets. */
  @Test
  void restrictedRequestDoesNotBlockOthers() {
    TargetLoad north = add("a", "north");
    TargetLoad south = add("b", "south");
    north.onPeerReport("router-2", 9_000, 1, clock.millis());
    TestJob restricted = submit(job(1).allow(NORTH));
    assertThat(restricted.target()).isEmpty();
    assertThat(submit(job(2)).target()).contains(south);
  }

  /** Guards against restricted requests that are queued too long since other regions are idle. */
  @Test
  void refusesRestrictedRequestsThatCannotBeOnTimeBehindOthers() {
    TargetLoad north = add("a", "north");
    add("b", "south");
    north.onPeerReport("router-2", 9_000, 1, clock.millis());
    int refused = 0;
    for (int i = 0; i < 50; i++) {
      TestJob job = submit(job(i).allow(NORTH));
      assertThat(job.target()).isEmpty();
      refused += job.refusal().isPresent() ? 1 : 0;
    }
    // The target prefills about ten of the 50 prompts within the objective.
    assertThat(refused).isGreaterThan(25);
  }

  /** Guards against a retry that is sent to an evacuated target, or waits until its deadline. */
  @Test
  void retryObeysEvacuation() {
    add("a", "north");
    TargetLoad second = add("b", "north");
    TargetLoad third = add("c", "south");
    second.onEvacuated();
    assertThat(submit(job(1).markTried("a")).target()).contains(third);
    third.onEvacuated();
    assertThat(submit(job(1).markTried("a")).refusal()).contains(RefusalReason.NO_TARGET);
  }

  /** Guards against a retry in another region. */
  @Test
  void retryObeysRegions() {
    add("a", "north");
    add("b", "south");
    TargetLoad third = add("c", "north");
    assertThat(submit(job(1).allow(NORTH).markTried("a")).target()).contains(third);
  }

  /** Guards against "no target" for a request whose only allowed target is in service but tried. */
  @Test
  void triedTargetInServiceIsNoExclusion() {
    add("a", "north");
    add("b", "south");
    assertThat(Exclusion.of(job(1).allow(NORTH).markTried("a"), dispatcher.targets("s"))).isEmpty();
  }

  private TestJob job(long shared) {
    return new TestJob("org", "r", shared, 5_000, clock.millis(), OBJECTIVE_MILLIS, sent -> {});
  }

  private TestJob submit(TestJob job) {
    dispatcher.submit(job);
    return job;
  }

  /** Adds an idle engine in a data centre of its own. */
  private TargetLoad add(String id, String region) {
    TargetLoad target =
        new TargetLoad(
            new TargetRecord(
                id,
                "s",
                "127.0.0.1",
                80,
                "dc-" + id,
                region,
                64,
                TargetRecord.State.READY,
                0,
                0,
                1),
            1_000_000);
    dispatcher.add(target);
    return target;
  }
}
