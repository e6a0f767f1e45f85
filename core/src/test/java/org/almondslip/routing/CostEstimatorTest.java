package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link CostEstimator}. */
class CostEstimatorTest {

  /** Guards against estimates that keep following a wrong hint or jump after a single outlier. */
  @Test
  void learnsFromCosts() {
    CostEstimator costs = new CostEstimator();
    assertThat(costs.estimateMillis(1, 100)).isEqualTo(100);
    for (int i = 0; i < 100; i++) {
      costs.onCost(1, 100, 300);
    }
    assertThat(costs.estimateMillis(1, 100)).isEqualTo(300);
    costs.onCost(1, 100, 1_000_000);
    assertThat(costs.estimateMillis(1, 100)).isBetween(300L, 500L);
    assertThat(costs.estimateMillis(2, 100)).as("other flow").isEqualTo(100);
  }
}
