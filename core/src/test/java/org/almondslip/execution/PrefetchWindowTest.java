package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefetchWindowTest {

  private final PrefetchWindow window = new PrefetchWindow();

  /**
   * Guards against slots that idle between short requests because the next requests are still in
   * transit.
   */
  @Test
  void growsWithRefillTime() {
    recordSamples(20, 5, 50);
    assertThat(window.size(4, 1)).isEqualTo(2);
    recordSamples(20, 5, 25);
    assertThat(window.size(4, 1)).isEqualTo(4);
  }

  /** Guards against long requests that wait at one agent while another agent is idle. */
  @Test
  void returnsMinimumForLongRequests() {
    recordSamples(10, 0, 5_000);
    assertThat(window.size(4, 1)).isEqualTo(1);
  }

  /** Guards against an agent that prefetches more requests than the fairness bound allows. */
  @Test
  void neverExceedsSlotCount() {
    recordSamples(5_000, 0, 10);
    assertThat(window.size(4, 1)).isEqualTo(4);
  }

  private void recordSamples(long grant, long claim, long slot) {
    for (int i = 0; i < 200; i++) {
      window.onDispatch(grant);
      window.onClaimed(claim);
      window.onEnded(slot);
    }
  }
}
