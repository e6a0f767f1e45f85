package org.almondslip.bench.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards the headline figure: the gap between organisations that were always backlogged. */
final class FairnessGapTest {

  private static FairnessGap.Sample sample(long time, long a, long b, Set<String> backlogged) {
    return new FairnessGap.Sample(time, Map.of("a", a, "b", b), backlogged);
  }

  @Test
  void serviceIsDividedByShareAndCountsFromTheFirstSample() {
    Set<String> both = Set.of("a", "b");
    List<FairnessGap.Sample> window =
        List.of(sample(0, 1000, 0, both), sample(1, 1400, 100, both), sample(2, 1800, 500, both));
    FairnessGap gap = FairnessGap.of(window, Map.of("a", 4, "b", 1));
    assertThat(gap.millis()).isEqualTo(300);
    assertThat(gap.organisations()).isEqualTo(both);
  }

  @Test
  void organisationThatWasOnceIdleDoesNotCount() {
    Set<String> both = Set.of("a", "b");
    List<FairnessGap.Sample> window =
        List.of(sample(0, 0, 0, both), sample(1, 900, 0, Set.of("a")), sample(2, 990, 0, both));
    FairnessGap gap = FairnessGap.of(window, Map.of("a", 1, "b", 1));
    assertThat(gap.millis()).isZero();
    assertThat(gap.organisations()).containsExactly("a");
  }

  @Property(seed = "31")
  void gapIsZeroWhenServiceIsProportionalToShares(
      @ForAll @IntRange(min = 1, max = 100) int share, @ForAll @IntRange(max = 10_000) int served) {
    Set<String> both = Set.of("a", "b");
    List<FairnessGap.Sample> window =
        List.of(sample(0, 7, 9, both), sample(1, 7 + (long) share * served, 9 + served, both));
    assertThat(FairnessGap.of(window, Map.of("a", share, "b", 1)).millis()).isZero();
  }
}
