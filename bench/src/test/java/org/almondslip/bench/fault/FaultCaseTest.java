package org.almondslip.bench.fault;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.almondslip.bench.load.RequestKind;
import org.junit.jupiter.api.Test;

final class FaultCaseTest {

  /**
   * Guards against a case that the script strikes but the load tool does not know, or vice versa.
   */
  @Test
  void scriptStrikesEveryCase() throws Exception {
    String script = Files.readString(Path.of("..", "bin", "faults.sh"));
    String list = Files.readString(Path.of("..", "bin", "faults"));
    for (FaultCase each : FaultCase.values()) {
      assertThat(script).contains("strike_" + each.label().replace('-', '_') + "() {");
      assertThat(list).containsPattern("[ \n]" + each.label() + "[ \n]");
      assertThat(FaultCase.ofLabel(each.label())).contains(each);
    }
    long strikes = script.lines().filter(line -> line.matches("strike_[a-z_]+\\(\\) \\{")).count();
    // One of the functions is strike_during_load.
    assertThat(strikes).isEqualTo(FaultCase.values().length + 1);
  }

  /** Guards against a case that would accept refusals for lack of room. */
  @Test
  void noCaseAllowsRefusalsForLackOfRoom() {
    for (FaultCase each : FaultCase.values()) {
      for (RequestKind kind : RequestKind.values()) {
        for (String code : new String[] {"organisation-queue-full", "router-overloaded"}) {
          assertThat(each.allows(code, kind)).as("%s %s %s", each, code, kind).isFalse();
        }
      }
    }
  }

  /** Guards against broken connections being forgiven where no router is killed. */
  @Test
  void onlyKilledRouterMayBreakConnections() {
    assertThat(Arrays.stream(FaultCase.values()).filter(FaultCase::mayBreakConnections))
        .containsExactly(FaultCase.KILL_ROUTER);
  }

  /** Guards against a store outage that stops other requests than keyed orders. */
  @Test
  void storeOutageRefusesKeyedOrdersOnly() {
    String code = "order-store-unavailable";
    assertThat(FaultCase.STORE_DOWN.allows(code, RequestKind.KEYED_ORDER)).isTrue();
    assertThat(FaultCase.STORE_DOWN.allows(code, RequestKind.ORDER)).isFalse();
    assertThat(FaultCase.STORE_DOWN.expectedCode()).contains(code);
  }
}
