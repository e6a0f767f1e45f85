package org.almondslip.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

class CrashQuarantineTest {

  private final Clock.Manual clock = new Clock.Manual(0);

  private final CrashQuarantine quarantine = new CrashQuarantine(clock);

  /** A request that keeps crashing targets must not reach further targets. */
  @Test
  void quarantinesRequestThatCrashedSeveralTargets() {
    crash(7, CrashQuarantine.CRASH_THRESHOLD - 1);
    assertThat(quarantine.isQuarantined(7)).isFalse();
    crash(7, CrashQuarantine.CRASH_THRESHOLD);
    assertThat(quarantine.isQuarantined(7)).isTrue();
    assertThat(quarantine.isQuarantined(8)).isFalse();
  }

  /** A crash that two routers report, or two crashes of one target, must count once. */
  @Test
  void countsEachTargetOnce() {
    for (int i = 0; i < 10; i++) {
      quarantine.onCrash(7, 1);
    }
    assertThat(quarantine.isQuarantined(7)).isFalse();
  }

  /** A request that did not cause the crashes must not be blocked permanently. */
  @Test
  void allowsOneAttemptAfterQuarantine() {
    crash(7, CrashQuarantine.CRASH_THRESHOLD);
    clock.advance(CrashQuarantine.QUARANTINE_MILLIS);
    assertThat(quarantine.isQuarantined(7)).isFalse();
    quarantine.onCrash(7, 1);
    assertThat(quarantine.isQuarantined(7)).isTrue();
    quarantine.onAnswer(7);
    assertThat(quarantine.isQuarantined(7)).isFalse();
  }

  /**
   * Records a crash of one request at each of several targets.
   *
   * @param fingerprint the fingerprint of the request
   * @param targets the number of targets
   */
  private void crash(long fingerprint, int targets) {
    for (int i = 0; i < targets; i++) {
      quarantine.onCrash(fingerprint, i);
    }
  }
}
