package org.almondslip.pace;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link RampWindow}. */
class RampWindowTest {

  private static final int SLOTS = 64;

  private static final long START = 1_000;

  /** Response time in milliseconds, equal to the one that is assumed at first. */
  private static final long RESPONSE_MILLIS = 200;

  private final RampWindow window = new RampWindow();

  RampWindowTest() {
    window.start(SLOTS, START);
  }

  /** Guards against a target that is flooded at once, or is slower to recover than it responds. */
  @Test
  void doublesInEachResponseTimeUntilTheLimit() {
    assertThat(window.size()).isEqualTo(8);
    respond(8, START + RESPONSE_MILLIS);
    assertThat(window.size()).isEqualTo(16);
    respond(100, START + RESPONSE_MILLIS + 1);
    assertThat(window.size()).isEqualTo(16);
    respond(16, START + 2 * RESPONSE_MILLIS);
    respond(32, START + 3 * RESPONSE_MILLIS);
    assertThat(window.isActive()).isFalse();
  }

  /** Guards against a window that collapses since one delay makes many responses late. */
  @Test
  void halvesAtMostOncePerResponseTimeAndThenGrowsByOne() {
    respond(8, START + RESPONSE_MILLIS);
    assertThat(window.decrease(START + 300)).isTrue();
    assertThat(window.decrease(START + 310)).isFalse();
    assertThat(window.size()).isEqualTo(8);
    respond(8, START + 300 + RESPONSE_MILLIS);
    assertThat(window.size()).isEqualTo(9);
  }

  /** Guards against a window of zero, which no response would ever increase. */
  @Test
  void neverFallsBelowOne() {
    for (int i = 1; i <= 20; i++) {
      window.decrease(START + i * 2 * RESPONSE_MILLIS);
    }
    assertThat(window.size()).isEqualTo(1);
    respond(10, START + 50 * RESPONSE_MILLIS);
    assertThat(window.size()).isEqualTo(2);
  }

  /** Guards against a target that stays limited since it gets no requests. */
  @Test
  void doublesWithoutLoad() {
    for (long now = START; now < START + 4 * RampWindow.UNCHANGED_MILLIS; now += 20) {
      window.tick(now);
    }
    assertThat(window.isActive()).isFalse();
  }

  /** Guards against a larger window of a router that has not seen the latest decrease. */
  @Test
  void moreDecreasesWinOverLargerWindow() {
    respond(8, START + RESPONSE_MILLIS);
    window.merge(2, window.decreases() + 1, SLOTS, START + 300);
    assertThat(window.size()).isEqualTo(2);
    window.merge(40, window.decreases() - 1, SLOTS, START + 310);
    assertThat(window.size()).isEqualTo(2);
    window.merge(5, window.decreases(), SLOTS, START + 320);
    assertThat(window.size()).isEqualTo(5);
    window.merge(0, window.decreases(), SLOTS, START + 330);
    assertThat(window.isActive()).isFalse();
  }

  /** Guards against a router that starts during ramp-up and sends without a limit. */
  @Test
  void restartedRouterAdoptsTheWindow() {
    RampWindow restarted = new RampWindow();
    restarted.merge(window.reportedWindow(), window.reportedDecreases(START), SLOTS, START);
    assertThat(restarted.isActive()).isTrue();
    assertThat(restarted.size()).isEqualTo(8);
    assertThat(restarted.start(SLOTS, START)).isFalse();
  }

  /** Guards against an outdated report that starts the ramp-up of a recovered target again. */
  @Test
  void outdatedReportAfterTheEndIsIgnored() {
    window.setLimit(8, START);
    window.merge(8, window.decreases(), SLOTS, START + 100);
    assertThat(window.isActive()).isFalse();
    assertThat(window.reportedDecreases(START + 10_000)).isZero();
  }

  /** Applies responses on time to a router that may use the whole window. */
  private void respond(int count, long now) {
    for (int i = 0; i < count; i++) {
      window.onTime(window.size(), START, now);
    }
  }
}
