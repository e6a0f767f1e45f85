package org.almondslip.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the fairness between organisations in a fleet of routers that exchange reports. */
class FleetFairnessTest {

  /** Duration of a simulation, in seconds. */
  private static final int SECONDS = 20;

  /** Second at which the organisations with excessive load start. */
  private static final int OVERLOAD_START_SECOND = 1;

  private static final int ENGINES = 10;

  /**
   * Minimum fraction of the time in which the engines must process prompts. The remainder covers
   * the network delay of requests.
   */
  private static final double MIN_UTILISATION = 0.9;

  /** Processor time per request event at a router with most of a core, in microseconds. */
  private static final long FAST_MICROS = 300;

  /** Processor time per request event at a router with a small share of a core, in microseconds. */
  private static final long SLOW_MICROS = 2_400;

  /** An overloaded router must not distort the fair shares in the whole fleet. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void overloadedRouterPreservesFairShares(long seed) {
    assertThat(simulate(seed).shortfalls()).isEmpty();
  }

  /** Engines must not idle to reserve capacity for organisations whose requests cannot be sent. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void enginesAreUtilisedWhileRequestsWait(long seed) {
    long busyMillis = simulate(seed).prefillMillis(OVERLOAD_START_SECOND + 1, SECONDS);
    long capacityMillis = (SECONDS - OVERLOAD_START_SECOND - 1) * 1_000L * ENGINES;
    assertThat(busyMillis).isGreaterThan((long) (capacityMillis * MIN_UTILISATION));
  }

  /**
   * Simulates three organisations that demand far more than the engines can serve, together with
   * small ones. One of the three and a small one send their requests only to a router that cannot
   * handle all of them.
   *
   * @param seed the seed of the random number generator
   * @return the demand and service of the organisations
   */
  private static ServiceRecord simulate(long seed) {
    FleetSimulation fleet = new FleetSimulation(seed, ENGINES, SECONDS);
    FleetSimulation.Router slow = fleet.addRouter(SLOW_MICROS);
    List<FleetSimulation.Router> fast = addRouters(fleet, 11, FAST_MICROS);
    long overloadStartMillis = OVERLOAD_START_SECOND * 1_000L;
    fleet.addLoad("slow-flood", 240, 8_000, List.of(slow), overloadStartMillis);
    fleet.addLoad("slow-small", 10, 4_000, List.of(slow), overloadStartMillis);
    fleet.addLoad("fast-flood", 100, 8_000, fast.subList(0, 2), overloadStartMillis);
    fleet.addLoad("spread-flood", 100, 8_000, fast, overloadStartMillis);
    addSmallOrganisations(fleet, fast);
    return fleet.run(SECONDS);
  }

  private static List<FleetSimulation.Router> addRouters(
      FleetSimulation fleet, int count, long eventMicros) {
    List<FleetSimulation.Router> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      added.add(fleet.addRouter(eventMicros));
    }
    return added;
  }

  /**
   * Adds organisations that demand less than an equal share.
   *
   * @param fleet the fleet
   * @param entryRouters the routers to which their callers send requests
   */
  private static void addSmallOrganisations(
      FleetSimulation fleet, List<FleetSimulation.Router> entryRouters) {
    for (int i = 0; i < 12; i++) {
      fleet.addLoad("small-" + i, 2, 8_000, entryRouters, 0);
    }
  }
}
