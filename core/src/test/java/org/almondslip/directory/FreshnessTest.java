package org.almondslip.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

class FreshnessTest {

  /** Clock whose monotonic and wall-clock time are set independently. */
  private static final class SplitClock implements Clock {

    private long monotonic = 1_000;

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

  private final SplitClock clock = new SplitClock();

  private final Freshness freshness = new Freshness(clock);

  /** API keys must not be treated as fresh before any were read. */
  @Test
  void ageIsUnknownBeforeFirstConfirmation() {
    assertThat(freshness.ageMillis()).isEqualTo(Freshness.UNKNOWN_AGE_MILLIS);
  }

  /**
   * The age must count from the request to the store, since the response may have been delayed
   * after the store created it.
   */
  @Test
  void countsFromTheTimeOfTheRead() {
    final Freshness.Timestamp timestamp = freshness.timestamp();
    clock.monotonic += 300;
    clock.wall += 300;
    freshness.confirm(timestamp);
    assertThat(freshness.ageMillis()).isEqualTo(300);
  }

  /** An instance must not treat old API keys as fresh after it was suspended and resumed. */
  @Test
  void countsSuspendedTime() {
    final Freshness.Timestamp timestamp = freshness.timestamp();
    clock.wall += 10_000;
    clock.monotonic += 5;
    freshness.confirm(timestamp);
    assertThat(freshness.ageMillis()).isEqualTo(10_000);
  }

  /** Old API keys must not appear fresh after the wall clock is set back. */
  @Test
  void ignoresBackwardStepOfWallClock() {
    freshness.confirm(freshness.timestamp());
    clock.wall -= 60_000;
    clock.monotonic += 700;
    assertThat(freshness.ageMillis()).isEqualTo(700);
  }
}
