package org.almondslip.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests {@link RetryAdvice}. */
class RetryAdviceTest {

  private static final long MIN_MILLIS = 500;

  private final RetryAdvice advice =
      new RetryAdvice(RandomSource.XO_RO_SHI_RO_128_PP.create(5), MIN_MILLIS);

  /** Guards against advice that callers cannot use, and against a return before there is room. */
  @Property(seed = "19", tries = 500)
  void adviceIsUsable(
      @ForAll @DoubleRange(max = 20_000) double expected,
      @ForAll @LongRange(max = 20_000) long pause,
      @ForAll @LongRange(min = -1_000, max = 60_000) long remaining) {
    long delay = advice.delayMillis(expected, pause, remaining);
    double usable = remaining / 3.0;
    double least = Math.max(Math.max(MIN_MILLIS, pause), Math.min(expected, usable / 2));
    double most = Math.min(usable, 2 * Math.max(least, expected));
    if (Math.max(MIN_MILLIS, pause) > usable) {
      assertThat(delay).isEqualTo(Math.max(MIN_MILLIS, pause));
    } else {
      assertThat((double) delay).isBetween(least - 1, most + 1);
    }
  }

  /** Guards against callers that were refused together and return together. */
  @Test
  void returnsAreSpreadEvenly() {
    int[] tenths = new int[10];
    for (int i = 0; i < 10_000; i++) {
      long delay = advice.delayMillis(1_000, 0, 15_000);
      tenths[(int) Math.min(9, (delay - 1_000) / 100)]++;
    }
    assertThat(Arrays.stream(tenths)).allMatch(count -> count > 850 && count < 1_150);
    assertThat(advice.usable()).isEqualTo(10_000);
    assertThat(advice.late()).isZero();
  }

  /** Guards against callers that return together at the end of the time that they can use. */
  @Test
  void returnsAreSpreadIfRoomIsExpectedLater() {
    int early = 0;
    for (int i = 0; i < 1_000; i++) {
      long delay = advice.delayMillis(30_000, 0, 15_000);
      assertThat(delay).isBetween(2_500L, 5_000L);
      early += delay < 3_750 ? 1 : 0;
    }
    assertThat(early).isBetween(400, 600);
  }

  /** Guards against an overflow for jobs without a deadline. */
  @Test
  void unlimitedTimeIsNoError() {
    assertThat(advice.delayMillis(0, 0, Long.MAX_VALUE)).isBetween(500L, 1_000L);
  }
}
