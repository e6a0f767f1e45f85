package org.almondslip.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Service of organisations across a fleet of routers that exchange reports. */
class FleetFairnessTest {

  /** Length of a play in seconds. */
  private static final int SECONDS = 20;

  /** Second at which the large organisations begin. */
  private static final int FLOOD_SECOND = 1;

  /** Number of engines. */
  private static final int ENGINES = 10;

  /** Part of the time in which the engines read; the rest covers the way of requests to them. */
  private static final double BUSY_PART = 0.9;

  /** Processor time of a request event at a router with much of a core, in microseconds. */
  private static final long FAST_MICROS = 300;

  /** Processor time of a request event at a router with little of a core, in microseconds. */
  private static final long SLOW_MICROS = 2_400;

  /** Guards against a router behind its load that disturbs the shares of the whole fleet. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void routerBehindItsLoadLeavesEachOrganisationItsShare(long seed) {
    assertThat(play(seed).shortfalls()).isEmpty();
  }

  /** Guards against engines that idle for organisations whose requests cannot be sent. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void enginesAreBusyWhileRequestsWait(long seed) {
    long read = play(seed).readMillis(FLOOD_SECOND + 1, SECONDS);
    long capacity = (SECONDS - FLOOD_SECOND - 1) * 1_000L * ENGINES;
    assertThat(read).isGreaterThan((long) (capacity * BUSY_PART));
  }

  /**
   * Plays three organisations that ask for far more than the engines can do beside small ones; one
   * of them and a small one reach a router that cannot handle all of their requests.
   *
   * @param seed the seed of the random numbers
   * @return what the organisations asked for and were given
   */
  private static ServiceRecord play(long seed) {
    FleetSimulation fleet = new FleetSimulation(seed, ENGINES, SECONDS);
    FleetSimulation.Router slow = fleet.addRouter(SLOW_MICROS);
    List<FleetSimulation.Router> fast = routers(fleet, 11, FAST_MICROS);
    long floodAt = FLOOD_SECOND * 1_000L;
    fleet.load("slow-flood", 240, 8_000, List.of(slow), floodAt);
    fleet.load("slow-small", 10, 4_000, List.of(slow), floodAt);
    fleet.load("fast-flood", 100, 8_000, fast.subList(0, 2), floodAt);
    fleet.load("spread-flood", 100, 8_000, fast, floodAt);
    small(fleet, fast);
    return fleet.play(SECONDS);
  }

  /**
   * Adds routers.
   *
   * @param fleet the fleet
   * @param count the number of routers
   * @param eventMicros the processor time of a request event in microseconds
   * @return the routers
   */
  private static List<FleetSimulation.Router> routers(
      FleetSimulation fleet, int count, long eventMicros) {
    List<FleetSimulation.Router> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      added.add(fleet.addRouter(eventMicros));
    }
    return added;
  }

  /**
   * Adds organisations that ask for less than an even share.
   *
   * @param fleet the fleet
   * @param at the routers that their callers reach
   */
  private static void small(FleetSimulation fleet, List<FleetSimulation.Router> at) {
    for (int i = 0; i < 12; i++) {
      fleet.load("small-" + i, 2, 8_000, at, 0);
    }
  }
}
