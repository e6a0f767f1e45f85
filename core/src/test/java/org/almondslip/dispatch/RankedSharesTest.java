package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests {@link RankedShares}. */
class RankedSharesTest {

  /** Guards against a division that differs from the max-min fair one although all are equal. */
  @Property(seed = "17", tries = 300)
  void singleRankIsMaxMinFair(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 1_000_000) Integer> tokens,
      @ForAll @IntRange(max = 100) int percent) {
    double[] requested = tokens.stream().mapToDouble(Integer::doubleValue).toArray();
    double served = Arrays.stream(requested).sum() * percent / 100;
    int[] ranks = new int[requested.length];
    Arrays.fill(ranks, 3);
    RankedShares shares = new RankedShares(ranks, requested, served, 1_000);
    for (int i = 0; i < ranks.length; i++) {
      assertThat(shares.limit(i)).isEqualTo(FairShare.maxMinShare(requested, served));
      assertThat(shares.floor(i)).isZero();
    }
  }

  /** Guards against an organisation without its floor, and against more than there is. */
  @Property(seed = "18", tries = 300)
  void floorsHoldAndTheDivisionFitsTheCapacity(
      @ForAll @Size(min = 2, max = 30) List<@IntRange(min = 1, max = 1_000_000) Integer> tokens,
      @ForAll @IntRange(min = 1, max = 84) int percent) {
    double[] requested = tokens.stream().mapToDouble(Integer::doubleValue).toArray();
    double served = Arrays.stream(requested).sum() * percent / 100;
    int[] ranks = new int[requested.length];
    for (int i = 0; i < ranks.length; i++) {
      ranks[i] = i % 3;
    }
    RankedShares shares = new RankedShares(ranks, requested, served, 0);
    double evenShare = FairShare.maxMinShare(requested, served);
    double total = 0;
    for (int i = 0; i < ranks.length; i++) {
      double floor = Math.min(evenShare, requested[i] * 0.1);
      assertThat(shares.limit(i)).isGreaterThanOrEqualTo(floor * 0.999_999);
      total += Math.min(requested[i], shares.limit(i));
    }
    // A rank that lacks at most 15 % of its demand has no limit, see FairShare.
    assertThat(total).isLessThanOrEqualTo(served / 0.85 + 1);
  }

  /** Guards against a lower rank that is served before a higher one has what it asked for. */
  @Test
  void higherRankIsServedFirst() {
    RankedShares shares =
        new RankedShares(new int[] {2, 0, 2}, new double[] {900, 500, 300}, 800, 10);
    assertThat(shares.limit(1)).isInfinite();
    assertThat(shares.limit(0)).isCloseTo(150, within(1e-6));
    assertThat(shares.limit(2)).isCloseTo(150, within(1e-6));
  }

  /** Guards against a flood of a higher rank that leaves nothing to the others. */
  @Test
  void lowerRankKeepsItsFloorBesideFloodOfHigherRank() {
    RankedShares shares =
        new RankedShares(new int[] {0, 1, 1}, new double[] {10_000, 1_000, 20}, 800, 50);
    assertThat(shares.limit(0)).isCloseTo(800 - 100 - 20, within(1e-6));
    assertThat(shares.limit(1)).isCloseTo(100, within(1e-6));
    assertThat(shares.floor(2)).isCloseTo(20, within(1e-6));
  }
}
