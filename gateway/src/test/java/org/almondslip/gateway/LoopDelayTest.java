package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Cases of {@link LoopDelay}. */
class LoopDelayTest {

  /** Interval of the ticks in milliseconds. */
  private static final long INTERVAL = 20;

  /** Clock that a test moves. */
  private final Clock.Manual clock = new Clock.Manual(0);

  /** Measurement. */
  private final LoopDelay delay = new LoopDelay(clock, INTERVAL);

  /** Guards against refusals by a loop that is on time. */
  @Test
  void isZeroWhileTicksAreOnTime() {
    for (int i = 0; i < 10; i++) {
      clock.advance(INTERVAL);
      delay.onTick();
      assertThat(delay.millis()).isZero();
    }
  }

  /** Guards against requests that are taken for new while the loop is still busy. */
  @Test
  void growsWhileTheLoopIsBusy() {
    clock.advance(INTERVAL);
    delay.onTick();
    clock.advance(500);
    assertThat(delay.millis()).isEqualTo(500 - INTERVAL);
  }

  /** Guards against forgetting a busy time whose requests are only read after it. */
  @Test
  void countsTheLastGapUntilTheNextTick() {
    clock.advance(500);
    delay.onTick();
    delay.onTick();
    assertThat(delay.millis()).isEqualTo(500 - INTERVAL);
    clock.advance(INTERVAL);
    delay.onTick();
    assertThat(delay.millis()).isZero();
  }
}
