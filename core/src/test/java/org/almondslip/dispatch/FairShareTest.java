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

/** Tests {@link FairShare}. */
class FairShareTest {

  /** Time of all calls in milliseconds. */
  private static final long NOW = 1_000;

  private final FairShare share = new FairShare();

  /** Guards against a share that deviates from the max-min fair one. */
  @Property(seed = "16", tries = 500)
  void sharesSumUpToTheServedTokens(
      @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 1_000_000) Integer> tokens,
      @ForAll @IntRange(max = 84) int percent) {
    double[] requested = tokens.stream().mapToDouble(Integer::doubleValue).toArray();
    double served = Arrays.stream(requested).sum() * percent / 100;
    double evenShare = FairShare.maxMinShare(requested, served);
    double total = Arrays.stream(requested).map(one -> Math.min(one, evenShare)).sum();
    assertThat(total).isCloseTo(served, within(1e-6 * (served + 1)));
  }

  /** Guards against limiting organisations to a share while none lacks capacity. */
  @Test
  void shareIsUnlimitedWithoutContention() {
    share.onPeerUsage("a", 900_000, 900_000, NOW);
    share.onPeerUsage("b", 100_000, 95_000, NOW);
    assertThat(share.evenShare(NOW)).isInfinite();
    assertThat(share.status("a", NOW)).isEqualTo(ShareStatus.EVEN);
    assertThat(share.waitMillis("a", 1_000_000, NOW)).isZero();
  }

  /** Guards against an organisation that lacks capacity while another exceeds its share. */
  @Test
  void comparesServiceWithTheEvenShare() {
    share.onPeerUsage("overserved", 1_000_000, 600_000, NOW);
    share.onPeerUsage("underserved", 1_000_000, 100_000, NOW);
    share.onPeerUsage("small", 20_000, 20_000, NOW);
    assertThat(share.evenShare(NOW)).isEqualTo(350_000);
    assertThat(share.status("overserved", NOW)).isEqualTo(ShareStatus.OVERSERVED);
    assertThat(share.status("underserved", NOW)).isEqualTo(ShareStatus.UNDERSERVED);
    assertThat(share.status("small", NOW)).isEqualTo(ShareStatus.EVEN);
    assertThat(share.status("unknown", NOW)).isEqualTo(ShareStatus.EVEN);
  }

  /** Guards against classifying an organisation as underserved because of a single request. */
  @Test
  void toleratesDeviationOfFewRequests() {
    share.onPeerUsage("flood", 2_000_000, 500_000, NOW);
    share.onRequested("small", 8_000, NOW);
    assertThat(share.status("small", NOW)).isEqualTo(ShareStatus.EVEN);
  }

  /** Guards against expected waits that ignore the demand of the organisation at other routers. */
  @Test
  void expectsTheLocalFractionOfTheShare() {
    share.onPeerUsage("other", 1_000_000, 300_000, NOW);
    share.onPeerUsage("org", 750_000, 100_000, NOW);
    for (int i = 0; i < 25; i++) {
      share.onRequested("org", 10_000, NOW);
    }
    double perMilli = 200_000 / OrganisationUsage.DECAY_MILLIS / 4;
    assertThat(share.waitMillis("org", 10_000, NOW)).isCloseTo(10_000 / perMilli, within(1.0));
  }

  /** Guards against refusals after a period in which no target accepted requests. */
  @Test
  void expectsSomeServiceBeforeAnyWasMeasured() {
    share.onRequested("org", 10_000, NOW);
    assertThat(share.waitMillis("org", 10_000, NOW)).isLessThan(OrganisationUsage.DECAY_MILLIS);
  }

  /** Guards against old service that still counts against the share of an organisation. */
  @Test
  void oldServiceDecays() {
    share.onPeerUsage("org", 1_000_000, 500_000, NOW);
    long later = NOW + (long) (OrganisationUsage.DECAY_MILLIS * 40);
    assertThat(share.servedTokens("org", later)).isLessThan(1);
    share.prune(later);
    assertThat(share.evenShare(later)).isInfinite();
  }
}
