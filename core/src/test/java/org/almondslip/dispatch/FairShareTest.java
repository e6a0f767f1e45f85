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

/** Cases of {@link FairShare}. */
class FairShareTest {

  /** Time of the cases in milliseconds. */
  private static final long NOW = 1_000;

  /** Share under test. */
  private final FairShare share = new FairShare();

  /** Guards against a share that differs from the max-min fair one. */
  @Property(seed = "16", tries = 500)
  void sharesAllThatIsGiven(
      @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 1_000_000) Integer> tokens,
      @ForAll @IntRange(max = 84) int percent) {
    double[] asked = tokens.stream().mapToDouble(Integer::doubleValue).toArray();
    double given = Arrays.stream(asked).sum() * percent / 100;
    double level = FairShare.evenShare(asked, given);
    double shared = Arrays.stream(asked).map(one -> Math.min(one, level)).sum();
    assertThat(shared).isCloseTo(given, within(1e-6 * (given + 1)));
  }

  /** Guards against holding organisations to a share while nobody goes short. */
  @Test
  void hasNoLimitWhileNobodyGoesShort() {
    share.onPeer("a", 900_000, 900_000, NOW);
    share.onPeer("b", 100_000, 95_000, NOW);
    assertThat(share.level(NOW)).isInfinite();
    assertThat(share.standing("a", NOW)).isEqualTo(Standing.EVEN);
    assertThat(share.waitMillis("a", 1_000_000, NOW)).isZero();
  }

  /**
   * Guards against an organisation that goes short while another one is served beyond its share.
   */
  @Test
  void comparesServiceWithTheEvenShare() {
    share.onPeer("rich", 1_000_000, 600_000, NOW);
    share.onPeer("poor", 1_000_000, 100_000, NOW);
    share.onPeer("small", 20_000, 20_000, NOW);
    assertThat(share.level(NOW)).isEqualTo(350_000);
    assertThat(share.standing("rich", NOW)).isEqualTo(Standing.OVERSERVED);
    assertThat(share.standing("poor", NOW)).isEqualTo(Standing.UNDERSERVED);
    assertThat(share.standing("small", NOW)).isEqualTo(Standing.EVEN);
    assertThat(share.standing("unknown", NOW)).isEqualTo(Standing.EVEN);
  }

  /** Guards against an organisation that asks for one request and counts as behind. */
  @Test
  void fewRequestsOfDifferenceDoNotCount() {
    share.onPeer("flood", 2_000_000, 500_000, NOW);
    share.onAsked("small", 8_000, NOW);
    assertThat(share.standing("small", NOW)).isEqualTo(Standing.EVEN);
  }

  /** Guards against waits that ignore how much of an organisation's demand comes elsewhere. */
  @Test
  void expectsTheSharePartOfThisRouter() {
    share.onPeer("other", 1_000_000, 300_000, NOW);
    share.onPeer("org", 750_000, 100_000, NOW);
    for (int i = 0; i < 25; i++) {
      share.onAsked("org", 10_000, NOW);
    }
    double perMilli = 200_000 / Account.WINDOW_MILLIS / 4;
    assertThat(share.waitMillis("org", 10_000, NOW)).isCloseTo(10_000 / perMilli, within(1.0));
  }

  /** Guards against refusals after a time in which no target took requests. */
  @Test
  void expectsSomeServiceBeforeAnythingWasGiven() {
    share.onAsked("org", 10_000, NOW);
    assertThat(share.waitMillis("org", 10_000, NOW)).isLessThan(Account.WINDOW_MILLIS);
  }

  /** Guards against old service that keeps an organisation from its share. */
  @Test
  void forgetsOldService() {
    share.onPeer("org", 1_000_000, 500_000, NOW);
    long later = NOW + (long) (Account.WINDOW_MILLIS * 40);
    assertThat(share.given("org", later)).isLessThan(1);
    share.prune(later);
    assertThat(share.level(later)).isInfinite();
  }
}
