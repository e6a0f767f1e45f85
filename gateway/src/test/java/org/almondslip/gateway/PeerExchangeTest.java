package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link PeerExchange}. */
class PeerExchangeTest {

  /** Guards against a small fleet that places requests by outdated loads of other regions. */
  @Test
  void smallFleetReportsToAllRegionsAtTheSameInterval() {
    assertThat(PeerExchange.distantIntervalTicks(1)).isEqualTo(1);
    assertThat(PeerExchange.distantIntervalTicks(6)).isEqualTo(1);
  }

  /** Guards against traffic between regions that grows with the square of a large fleet. */
  @Test
  void largeFleetReportsToOtherRegionsLessOften() {
    assertThat(PeerExchange.distantIntervalTicks(33)).isEqualTo(3);
    assertThat(PeerExchange.distantIntervalTicks(410)).isEqualTo(3);
  }
}
