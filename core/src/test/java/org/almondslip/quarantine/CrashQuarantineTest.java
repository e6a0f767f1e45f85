package org.almondslip.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Cases of {@link CrashQuarantine}. */
class CrashQuarantineTest {

  /** Source of time. */
  private final Clock.Manual clock = new Clock.Manual(0);

  /** Window under test. */
  private final CrashQuarantine window = new CrashQuarantine(clock);

  /** Guards against a request that crashes one target after the other. */
  @Test
  void holdsRequestThatCrashedSeveralTargets() {
    crash(7, CrashQuarantine.CRASH_THRESHOLD - 1);
    assertThat(window.isQuarantined(7)).isFalse();
    crash(7, CrashQuarantine.CRASH_THRESHOLD);
    assertThat(window.isQuarantined(7)).isTrue();
    assertThat(window.isQuarantined(8)).isFalse();
  }

  /** Guards against counting one crash that two routers saw, or one target twice. */
  @Test
  void countsTargetsOnce() {
    for (int i = 0; i < 10; i++) {
      window.onCrash(7, 1);
    }
    assertThat(window.isQuarantined(7)).isFalse();
  }

  /** Guards against keeping an innocent request back for good. */
  @Test
  void allowsOneMoreSendAfterTheHold() {
    crash(7, CrashQuarantine.CRASH_THRESHOLD);
    clock.advance(CrashQuarantine.QUARANTINE_MILLIS);
    assertThat(window.isQuarantined(7)).isFalse();
    window.onCrash(7, 1);
    assertThat(window.isQuarantined(7)).isTrue();
    window.onAnswer(7);
    assertThat(window.isQuarantined(7)).isFalse();
  }

  /**
   * Notes crashes of a request.
   *
   * @param fingerprint the fingerprint
   * @param targets the number of targets
   */
  private void crash(long fingerprint, int targets) {
    for (int i = 0; i < targets; i++) {
      window.onCrash(fingerprint, i);
    }
  }
}
