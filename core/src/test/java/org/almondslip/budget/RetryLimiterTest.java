package org.almondslip.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class RetryLimiterTest {

  private static final long WINDOW_MILLIS = 10_000;

  /** Retries per request. */
  private static final double RATIO = 0.2;

  /** Retries per window in addition to the ratio. */
  private static final double ALLOWANCE = 2;

  /**
   * Verifies that a burst of retries never exceeds the budget in any sliding window. The requests
   * that count are those in the window of the retry and in the preceding window.
   *
   * @param steps the delays before the events, in milliseconds; an odd delay precedes a retry, an
   *     even one a request
   */
  @Property(seed = "20261204", tries = 300)
  void retriesStayWithinBudgetInEveryWindow(
      @ForAll @Size(max = 400) List<@IntRange(max = 300) Integer> steps) {
    RetryLimiter limiter = new RetryLimiter(WINDOW_MILLIS, RATIO, () -> ALLOWANCE);
    final List<Long> requestTimes = new ArrayList<>();
    final List<Long> retryTimes = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += step;
      if (step % 2 == 0) {
        limiter.onRequest(now);
        requestTimes.add(now);
      } else if (limiter.tryAcquire(now)) {
        retryTimes.add(now);
      }
    }
    for (long end : retryTimes) {
      long retries =
          retryTimes.stream().filter(at -> at <= end && at > end - WINDOW_MILLIS).count();
      long requests =
          requestTimes.stream().filter(at -> at <= end && at > end - 2 * WINDOW_MILLIS).count();
      assertThat((double) retries).isLessThanOrEqualTo(requests * RATIO + ALLOWANCE);
    }
  }
}
