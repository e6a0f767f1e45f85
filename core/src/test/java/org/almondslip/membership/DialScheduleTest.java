package org.almondslip.membership;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Tests the backoff between dials. */
class DialScheduleTest {

  /**
   * Guards against dials in a tight loop and against unbounded backoff.
   *
   * @param seed the seed of the jitter
   */
  @Property(tries = 100, seed = "7304")
  void waitsGrowUpToTheLimit(@ForAll long seed) {
    Clock.Manual clock = new Clock.Manual(0);
    DialSchedule schedule = new DialSchedule(clock, RandomSource.SPLIT_MIX_64.create(seed));
    long maxDelay = DialSchedule.INITIAL_BACKOFF_MILLIS;
    for (int i = 0; i < 12; i++) {
      assertThat(schedule.tryDial("a")).isTrue();
      assertThat(schedule.tryDial("a")).as("dial while another is in progress").isFalse();
      schedule.onEnd("a");
      clock.advance(maxDelay / 2 - 1);
      assertThat(schedule.tryDial("a")).as("dial before the minimum delay").isFalse();
      clock.advance(maxDelay - maxDelay / 2 + 1);
      maxDelay = Math.min(DialSchedule.MAX_BACKOFF_MILLIS, maxDelay * 2);
    }
  }

  /**
   * Guards against tight-loop dials of a peer that accepts connections and closes them immediately.
   *
   * @param seed the seed of the jitter
   */
  @Property(tries = 20, seed = "7305")
  void waitStartsAnewOnlyAfterStableConnection(@ForAll long seed) {
    Clock.Manual clock = new Clock.Manual(0);
    DialSchedule schedule = new DialSchedule(clock, RandomSource.SPLIT_MIX_64.create(seed));
    for (int i = 0; i < 10; i++) {
      schedule.tryDial("a");
      schedule.onOpen("a");
      schedule.onEnd("a");
      clock.advance(DialSchedule.MAX_BACKOFF_MILLIS);
    }
    schedule.tryDial("a");
    schedule.onOpen("a");
    schedule.onEnd("a");
    clock.advance(DialSchedule.INITIAL_BACKOFF_MILLIS);
    assertThat(schedule.tryDial("a")).isFalse();
    clock.advance(DialSchedule.MAX_BACKOFF_MILLIS);
    schedule.tryDial("a");
    schedule.onOpen("a");
    clock.advance(DialSchedule.STABLE_CONNECTION_MILLIS);
    schedule.onEnd("a");
    clock.advance(DialSchedule.INITIAL_BACKOFF_MILLIS);
    assertThat(schedule.tryDial("a")).isTrue();
  }
}
