package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link OutlierEjector}. */
class OutlierEjectorTest {

  private final OutlierEjector ejector = new OutlierEjector();

  /** Guards against one failing request that ejects shared targets. */
  @Test
  void ignoresRepeatsOfOneRequest() {
    for (int i = 0; i < 100; i++) {
      assertThat(ejector.onFailure("t", 7, 0)).isFalse();
    }
    assertThat(ejector.allowance("t", 0)).isEqualTo(Integer.MAX_VALUE);
  }

  /** Guards against ejections that do not grow while a target stays broken. */
  @Test
  void doublesPeriod() {
    fail(0, OutlierEjector.FAILURE_THRESHOLD);
    assertThat(ejector.allowance("t", OutlierEjector.FIRST_EJECTION_MILLIS - 1)).isZero();
    long back = OutlierEjector.FIRST_EJECTION_MILLIS;
    assertThat(ejector.allowance("t", back)).isEqualTo(1);
    assertThat(ejector.onFailure("t", 99, back)).as("one failure is enough").isTrue();
    assertThat(ejector.allowance("t", back + 2 * OutlierEjector.FIRST_EJECTION_MILLIS - 1))
        .isZero();
  }

  /** Guards against full load on a target right after its ejection. */
  @Test
  void raisesAllowanceWithSuccess() {
    fail(0, OutlierEjector.FAILURE_THRESHOLD);
    long now = OutlierEjector.FIRST_EJECTION_MILLIS;
    for (int allowed = 1; allowed < OutlierEjector.SLOW_START_LIMIT; allowed *= 2) {
      assertThat(ejector.allowance("t", now)).isEqualTo(allowed);
      ejector.onSuccess("t");
    }
    assertThat(ejector.allowance("t", now)).isEqualTo(Integer.MAX_VALUE);
  }

  /** Guards against failures that add up across successes. */
  @Test
  void forgetsFailuresAfterSuccess() {
    fail(0, OutlierEjector.FAILURE_THRESHOLD - 1);
    ejector.onSuccess("t");
    assertThat(ejector.onFailure("t", 50, 0)).isFalse();
  }

  /**
   * Counts failures of different requests.
   *
   * @param now the time, in milliseconds
   * @param count the number of failures
   */
  private void fail(long now, int count) {
    for (int i = 0; i < count; i++) {
      ejector.onFailure("t", i, now);
    }
  }
}
