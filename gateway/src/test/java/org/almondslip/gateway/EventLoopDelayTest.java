package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link EventLoopDelay}. */
class EventLoopDelayTest {

  private static final long TICK_INTERVAL_MILLIS = 20;

  private final Clock.Manual clock = new Clock.Manual(0);

  private final EventLoopDelay delay = new EventLoopDelay(clock, TICK_INTERVAL_MILLIS);

  /** Guards against refused requests while the event loop has no delay. */
  @Test
  void isZeroWhileTicksAreOnTime() {
    for (int i = 0; i < 10; i++) {
      clock.advance(TICK_INTERVAL_MILLIS);
      delay.onTick();
      assertThat(delay.millis()).isZero();
    }
  }

  /** Guards against an estimate that ignores the time since the last tick of a blocked loop. */
  @Test
  void growsWhileEventLoopIsBlocked() {
    clock.advance(TICK_INTERVAL_MILLIS);
    delay.onTick();
    clock.advance(500);
    assertThat(delay.millis()).isEqualTo(500 - TICK_INTERVAL_MILLIS);
  }

  /** Guards against an estimate that drops a delay before the delayed requests are read. */
  @Test
  void includesLastGapUntilNextTick() {
    clock.advance(500);
    delay.onTick();
    delay.onTick();
    assertThat(delay.millis()).isEqualTo(500 - TICK_INTERVAL_MILLIS);
    clock.advance(TICK_INTERVAL_MILLIS);
    delay.onTick();
    assertThat(delay.millis()).isZero();
  }
}
