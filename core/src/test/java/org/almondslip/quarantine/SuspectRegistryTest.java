package org.almondslip.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.junit.jupiter.api.Test;

class SuspectRegistryTest {

  private final SuspectRegistry registry = new SuspectRegistry();

  /** A single crash must not cause a refusal because two processes report it. */
  @Test
  void crashReportedTwiceCountsOnce() {
    assertThat(registry.recordCrash(7, "engine-1@5")).isTrue();
    assertThat(registry.recordCrash(7, "engine-1@5")).isFalse();
    assertThat(registry.verdict(7)).isEqualTo(Verdict.SUSPECT);
    registry.recordCrash(7, "engine-2@9");
    assertThat(registry.verdict(7)).isEqualTo(Verdict.REFUSED);
  }

  /** A late success of another attempt must not readmit a refused request. */
  @Test
  void refusedRequestIsNotCleared() {
    registry.recordCrash(7, "engine-1@5");
    registry.recordCrash(7, "engine-2@9");
    assertThat(registry.clear(7)).isFalse();
    assertThat(registry.verdict(7)).isEqualTo(Verdict.REFUSED);
  }

  /** The registry must not grow without bound. */
  @Test
  void oldestFingerprintIsEvictedFirst() {
    for (long fingerprint = 0; fingerprint <= SuspectRegistry.MAX_FINGERPRINTS; fingerprint++) {
      registry.recordCrash(fingerprint, "engine-1@5");
    }
    assertThat(registry.crashRecords()).hasSize(SuspectRegistry.MAX_FINGERPRINTS);
    assertThat(registry.verdict(0)).isEqualTo(Verdict.CLEAR);
    assertThat(registry.verdict(1)).isEqualTo(Verdict.SUSPECT);
  }
}
