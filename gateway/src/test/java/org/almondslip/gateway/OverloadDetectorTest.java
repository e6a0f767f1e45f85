package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Cases of {@link OverloadDetector}. */
class OverloadDetectorTest {

  /** Longest accepted delay in milliseconds. */
  private static final long MAX_DELAY = 250;

  /** Interval of the measurements in milliseconds. */
  private static final long INTERVAL = 20;

  /** Clock that a test moves. */
  private final Clock.Manual clock = new Clock.Manual(0);

  /** Detector under test. */
  private final OverloadDetector detector = new OverloadDetector(clock, MAX_DELAY);

  /** Guards against callers that stay at a router which cannot handle their requests. */
  @Test
  void notesDelayThatLasts() {
    measure(250, 1_000);
    assertThat(detector.overloaded()).isTrue();
  }

  /** Guards against a router that sends its callers away for one pause. */
  @Test
  void ignoresSinglePause() {
    clock.advance(300);
    detector.onDelay(280);
    measure(0, 1_000);
    assertThat(detector.overloaded()).isFalse();
  }

  /** Guards against callers that move to and fro with each change of the delay. */
  @Test
  void staysOverloadedForSomeTime() {
    measure(250, 1_000);
    measure(0, OverloadDetector.HOLD_MILLIS - 1_000);
    assertThat(detector.overloaded()).isTrue();
    measure(0, 3_000);
    assertThat(detector.overloaded()).isFalse();
  }

  /** Guards against callers that come back as often as they overload the router. */
  @Test
  void staysOverloadedLongerAfterRelapse() {
    measure(250, 1_000);
    measure(0, OverloadDetector.HOLD_MILLIS + 1_000);
    assertThat(detector.overloaded()).isFalse();
    measure(250, 1_000);
    measure(0, OverloadDetector.HOLD_MILLIS + 1_000);
    assertThat(detector.overloaded()).isTrue();
    measure(0, OverloadDetector.HOLD_MILLIS);
    assertThat(detector.overloaded()).isFalse();
  }

  /**
   * Measures the same delay for some time.
   *
   * @param delayMillis the delay in milliseconds
   * @param forMillis the time in milliseconds
   */
  private void measure(long delayMillis, long forMillis) {
    for (long passed = 0; passed < forMillis; passed += INTERVAL) {
      clock.advance(INTERVAL);
      detector.onDelay(delayMillis);
    }
  }
}
