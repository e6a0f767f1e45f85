package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link OverloadDetector}. */
class OverloadDetectorTest {

  private static final long MAX_DELAY_MILLIS = 250;

  private static final long SAMPLE_INTERVAL_MILLIS = 20;

  private final Clock.Manual clock = new Clock.Manual(0);

  private final OverloadDetector detector = new OverloadDetector(clock, MAX_DELAY_MILLIS);

  /** Guards against callers that stay with a router which cannot serve their requests in time. */
  @Test
  void detectsSustainedDelay() {
    addSamples(250, 1_000);
    assertThat(detector.overloaded()).isTrue();
  }

  /** Guards against a router that becomes unready after a single pause. */
  @Test
  void ignoresSinglePause() {
    clock.advance(300);
    detector.addSample(280);
    addSamples(0, 1_000);
    assertThat(detector.overloaded()).isFalse();
  }

  /** Guards against callers that oscillate between routers with each change of the delay. */
  @Test
  void staysOverloadedForMinimumDuration() {
    addSamples(250, 1_000);
    addSamples(0, OverloadDetector.MIN_OVERLOAD_MILLIS - 1_000);
    assertThat(detector.overloaded()).isTrue();
    addSamples(0, 3_000);
    assertThat(detector.overloaded()).isFalse();
  }

  /** Guards against a router that returning callers overload again at a constant period. */
  @Test
  void staysOverloadedLongerAfterRelapse() {
    addSamples(250, 1_000);
    addSamples(0, OverloadDetector.MIN_OVERLOAD_MILLIS + 1_000);
    assertThat(detector.overloaded()).isFalse();
    addSamples(250, 1_000);
    addSamples(0, OverloadDetector.MIN_OVERLOAD_MILLIS + 1_000);
    assertThat(detector.overloaded()).isTrue();
    addSamples(0, OverloadDetector.MIN_OVERLOAD_MILLIS);
    assertThat(detector.overloaded()).isFalse();
  }

  /** Adds samples of a constant delay for a duration, both in milliseconds. */
  private void addSamples(long delayMillis, long durationMillis) {
    for (long elapsed = 0; elapsed < durationMillis; elapsed += SAMPLE_INTERVAL_MILLIS) {
      clock.advance(SAMPLE_INTERVAL_MILLIS);
      detector.addSample(delayMillis);
    }
  }
}
