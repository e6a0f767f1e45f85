package org.almondslip.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Cases of {@link RetryLimiter}. */
class RetryLimiterTest {

  /** Length of the window in milliseconds. */
  private static final long WINDOW_MILLIS = 10_000;

  /** Repeats for each request. */
  private static final double RATIO = 0.2;

  /** Repeats beside the ratio. */
  private static final double ALLOWANCE = 2;

  /**
   * Guards against a burst of repeats that any sliding window would find above the budget. The
   * requests that count are those of the window of the repeat and of the one before it.
   *
   * @param steps pauses before the events in milliseconds; an odd pause asks for a repeat
   */
  @Property(seed = "20261204", tries = 300)
  void staysWithinTheBudgetOfEveryWindow(
      @ForAll @Size(max = 400) List<@IntRange(max = 300) Integer> steps) {
    RetryLimiter window = new RetryLimiter(WINDOW_MILLIS, RATIO, ALLOWANCE);
    final List<Long> requests = new ArrayList<>();
    final List<Long> repeats = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += step;
      if (step % 2 == 0) {
        window.onRequest(now);
        requests.add(now);
      } else if (window.tryAcquire(now)) {
        repeats.add(now);
      }
    }
    for (long end : repeats) {
      long made = repeats.stream().filter(at -> at <= end && at > end - WINDOW_MILLIS).count();
      long asked =
          requests.stream().filter(at -> at <= end && at > end - 2 * WINDOW_MILLIS).count();
      assertThat((double) made).isLessThanOrEqualTo(asked * RATIO + ALLOWANCE);
    }
  }
}
