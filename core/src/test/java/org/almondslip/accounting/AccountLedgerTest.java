package org.almondslip.accounting;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.catalog.Flow;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class AccountLedgerTest {

  private static final Flow WIDE = Flow.of("wide", "belt", 1);
  private static final Flow NARROW = Flow.of("narrow", "belt", 1);
  private static final Flow RETURNING = Flow.of("risen", "belt", 1);

  private final AccountLedger ledger =
      new AccountLedger(
          PortionRule.REACH, "t1", new TwoTargets(), 1, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

  /** Guards against a flow that obtains extra service because its cost estimates are too low. */
  @Test
  void hintsAreCorrectedByEarlierCosts() {
    AccountLedger large =
        new AccountLedger(
            PortionRule.REACH,
            "t1",
            new TwoTargets(),
            4_000,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    large.start(1, WIDE, 1);
    assertThat(large.uncountedMicros(WIDE.id())).isEqualTo(1_000);
    large.settle(1, 2_000);
    large.start(2, WIDE, 1);
    assertThat(large.uncountedMicros(WIDE.id())).isEqualTo(4_000_000);
  }

  /** Guards against charges that are counted twice or lost between digests. */
  @Test
  void ownChargesLeaveTheEstimateWhenCounted() {
    ledger.start(1, WIDE, 1);
    ledger.settle(1, 10);
    assertThat(ledger.drainCharges()).isEqualTo(Map.of(WIDE.id(), 10_000L));
    assertThat(ledger.uncountedMicros(WIDE.id())).isEqualTo(10_000);
    ledger.onCounted();
    assertThat(ledger.uncountedMicros(WIDE.id())).isZero();
  }

  /** Guards against virtual time that is lowered by a flow whose only target is overloaded. */
  @Test
  void virtualTimeComesFromFlowsThatReachTheSameTargets() {
    Map<Integer, FlowState> states =
        Map.of(
            WIDE.id(), new FlowState(9_000_000, true),
            NARROW.id(), new FlowState(1_000_000, true));
    VirtualTime time = new VirtualTime(states, new TwoTargets());
    assertThat(time.of(Set.of("t1", "t2"))).hasValue(9_000_000);
    assertThat(time.of(Set.of("t2"))).hasValue(1_000_000);
    ledger.onDigest(states);
    assertThat(ledger.estimateMicros(RETURNING)).isBetween(9_000_000L, 9_002_000L);
  }

  /** Directory of two targets; the narrow flow reaches only the second one. */
  private static final class TwoTargets implements FlowDirectory {
    @Override
    public Optional<Flow> flow(int flowId) {
      return Optional.empty();
    }

    @Override
    public Set<String> targetsOf(int flowId) {
      return flowId == NARROW.id() ? Set.of("t2") : Set.of("t1", "t2");
    }
  }
}
