package org.almondslip.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.junit.jupiter.api.Test;

class SuspectRegistryTest {

  private final SuspectRegistry registry = new SuspectRegistry();

  /** Guards against one crash that convicts a request because two processes saw it. */
  @Test
  void twoObserversOfOneCrashCountOnce() {
    assertThat(registry.recordCrash(7, "engine-1@5")).isTrue();
    assertThat(registry.recordCrash(7, "engine-1@5")).isFalse();
    assertThat(registry.verdict(7)).isEqualTo(Verdict.SUSPECT);
    registry.recordCrash(7, "engine-2@9");
    assertThat(registry.verdict(7)).isEqualTo(Verdict.REFUSED);
  }

  /** Guards against a refused request that a late success of another run lets in again. */
  @Test
  void refusedRequestIsNotCleared() {
    registry.recordCrash(7, "engine-1@5");
    registry.recordCrash(7, "engine-2@9");
    assertThat(registry.clear(7)).isFalse();
    assertThat(registry.verdict(7)).isEqualTo(Verdict.REFUSED);
  }

  /** Guards against memory that grows with every crash. */
  @Test
  void oldestMarksAreForgottenFirst() {
    for (long fingerprint = 0; fingerprint <= SuspectRegistry.MAX_FINGERPRINTS; fingerprint++) {
      registry.recordCrash(fingerprint, "engine-1@5");
    }
    assertThat(registry.crashRecords()).hasSize(SuspectRegistry.MAX_FINGERPRINTS);
    assertThat(registry.verdict(0)).isEqualTo(Verdict.CLEAR);
    assertThat(registry.verdict(1)).isEqualTo(Verdict.SUSPECT);
  }
}
