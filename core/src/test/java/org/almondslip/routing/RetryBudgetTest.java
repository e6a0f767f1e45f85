package org.almondslip.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link RetryBudget}. */
class RetryBudgetTest {

  /** Guards against retries that multiply the load while targets fail. */
  @Test
  void allowsTenthOfRequestsAndThreeEachSecond() {
    RetryBudget budget = new RetryBudget(0);
    assertThat(taken(budget, 0)).as("burst").isEqualTo(30);
    for (int i = 0; i < 100; i++) {
      budget.onRequest();
    }
    assertThat(taken(budget, 0)).as("of 100 requests").isBetween(9, 10);
    assertThat(taken(budget, 2_000)).as("in 2 s").isBetween(6, 7);
  }

  /**
   * Takes all tokens.
   *
   * @param budget the budget
   * @param now the time, in milliseconds
   * @return the number of tokens
   */
  private static int taken(RetryBudget budget, long now) {
    int taken = 0;
    while (budget.tryAcquire(now)) {
      taken++;
    }
    return taken;
  }
}
