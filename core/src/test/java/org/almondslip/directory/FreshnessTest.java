package org.almondslip.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Cases of {@link Freshness}. */
class FreshnessTest {

  /** Clock whose two times move separately. */
  private static final class SplitClock implements Clock {

    /** Monotonic time in milliseconds. */
    private long monotonic = 1_000;

    /** Wall-clock time in milliseconds. */
    private long wall = 500_000;

    @Override
    public long millis() {
      return monotonic;
    }

    @Override
    public long wallMillis() {
      return wall;
    }
  }

  /** Source of time. */
  private final SplitClock clock = new SplitClock();

  /** Age under test. */
  private final Freshness freshness = new Freshness(clock);

  /** Guards against serving keys before any were read. */
  @Test
  void isUnknownAtFirst() {
    assertThat(freshness.ageMillis()).isEqualTo(Freshness.UNKNOWN_AGE_MILLIS);
  }

  /** Guards against counting from the answer, which the store may have given long before. */
  @Test
  void countsFromTheMark() {
    final Freshness.Timestamp timestamp = freshness.timestamp();
    clock.monotonic += 300;
    clock.wall += 300;
    freshness.confirm(timestamp);
    assertThat(freshness.ageMillis()).isEqualTo(300);
  }

  /** Guards against a suspended instance that takes old keys for fresh after it wakes up. */
  @Test
  void countsSuspendedTime() {
    final Freshness.Timestamp timestamp = freshness.timestamp();
    clock.wall += 10_000;
    clock.monotonic += 5;
    freshness.confirm(timestamp);
    assertThat(freshness.ageMillis()).isEqualTo(10_000);
  }

  /** Guards against a wall clock that is set back and makes old keys look fresh. */
  @Test
  void ignoresBackwardStep() {
    freshness.confirm(freshness.timestamp());
    clock.wall -= 60_000;
    clock.monotonic += 700;
    assertThat(freshness.ageMillis()).isEqualTo(700);
  }
}
