package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefetchWindowTest {

  private final PrefetchWindow window = new PrefetchWindow();

  /** Guards against slots of short requests that idle while their successors are on the way. */
  @Test
  void growsWithTheTimeOfRefill() {
    observe(20, 5, 50);
    assertThat(window.size(4, 1)).isEqualTo(2);
    observe(20, 5, 25);
    assertThat(window.size(4, 1)).isEqualTo(4);
  }

  /** Guards against long requests that wait at one agent while another one idles. */
  @Test
  void staysAtTheMinimumForLongRequests() {
    observe(10, 0, 5_000);
    assertThat(window.size(4, 1)).isEqualTo(1);
  }

  /** Guards against an agent that takes more than the fairness bound allows for. */
  @Test
  void neverExceedsTheSlots() {
    observe(5_000, 0, 10);
    assertThat(window.size(4, 1)).isEqualTo(4);
  }

  private void observe(long grant, long claim, long slot) {
    for (int i = 0; i < 200; i++) {
      window.onDispatch(grant);
      window.onClaimed(claim);
      window.onEnded(slot);
    }
  }
}
