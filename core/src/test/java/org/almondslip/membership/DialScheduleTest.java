package org.almondslip.membership;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/** Tests the waits between dials. */
class DialScheduleTest {

  /**
   * Guards against dials in a tight loop and against waits without limit.
   *
   * @param seed the seed of the jitter
   */
  @Property(tries = 100, seed = "7304")
  void waitsGrowUpToTheLimit(@ForAll long seed) {
    Clock.Manual clock = new Clock.Manual(0);
    DialSchedule schedule = new DialSchedule(clock, RandomSource.SPLIT_MIX_64.create(seed));
    long limit = DialSchedule.FIRST_WAIT_MILLIS;
    for (int i = 0; i < 12; i++) {
      assertThat(schedule.tryDial("a")).isTrue();
      assertThat(schedule.tryDial("a")).as("a second dial at the same time").isFalse();
      schedule.onEnd("a");
      clock.advance(limit / 2 - 1);
      assertThat(schedule.tryDial("a")).as("before half of the wait").isFalse();
      clock.advance(limit - limit / 2 + 1);
      limit = Math.min(DialSchedule.MAX_WAIT_MILLIS, limit * 2);
    }
  }

  /**
   * Guards against a peer that accepts and closes at once being dialled in a tight loop.
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
      clock.advance(DialSchedule.MAX_WAIT_MILLIS);
    }
    schedule.tryDial("a");
    schedule.onOpen("a");
    schedule.onEnd("a");
    clock.advance(DialSchedule.FIRST_WAIT_MILLIS);
    assertThat(schedule.tryDial("a")).isFalse();
    clock.advance(DialSchedule.MAX_WAIT_MILLIS);
    schedule.tryDial("a");
    schedule.onOpen("a");
    clock.advance(DialSchedule.STABLE_MILLIS);
    schedule.onEnd("a");
    clock.advance(DialSchedule.FIRST_WAIT_MILLIS);
    assertThat(schedule.tryDial("a")).isTrue();
  }
}
