package org.almondslip.budget;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests of {@link FleetAllowance}. */
class FleetAllowanceTest {

  private static final double FLEET_ALLOWANCE = 56;

  private static final long WINDOW_MILLIS = 10_000;

  /**
   * Guards against a fleet whose routers together retry more than the allowance of the fleet, also
   * when all of them restart within a window.
   */
  @Property(seed = "20261205", tries = 100)
  void fleetStaysWithinAllowance(@ForAll @IntRange(min = 1, max = 410) int routers) {
    int retries = 0;
    for (int life = 0; life < 2; life++) {
      for (int router = 0; router < routers; router++) {
        FleetAllowance allowance = new FleetAllowance(FLEET_ALLOWANCE);
        allowance.setRouters(routers);
        RetryLimiter limiter = new RetryLimiter(WINDOW_MILLIS, 0, allowance::perRouter);
        while (limiter.tryAcquire(life)) {
          retries++;
        }
      }
    }
    assertThat(retries).isLessThanOrEqualTo((int) FLEET_ALLOWANCE);
  }

  /** Guards against a router that uses the allowance of the fleet before it knows the others. */
  @Test
  void unknownFleetIsAssumedToBeLarge() {
    assertThat(new FleetAllowance(FLEET_ALLOWANCE).perRouter()).isLessThan(FLEET_ALLOWANCE / 40);
  }
}
