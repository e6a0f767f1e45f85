package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;
import org.almondslip.catalog.Flow;

/** Account that a flow without recent backlog gets when it becomes backlogged. */
final class VirtualTime {

  /** Not instantiable. */
  private VirtualTime() {}

  /**
   * Computes the virtual time of each pool: the smallest account among its backlogged flows, or the
   * largest account when none is backlogged.
   *
   * @param states the states of the active flows by identity
   * @param flows the flows by identity
   * @return the virtual times by pool, in microseconds
   */
  static Map<String, Long> ofPools(
      Map<Integer, FlowState> states, IntFunction<Optional<Flow>> flows) {
    Map<String, Long> smallest = new HashMap<>();
    Map<String, Long> largest = new HashMap<>();
    states.forEach(
        (id, state) -> {
          String pool = flows.apply(id).map(Flow::pool).orElse("");
          largest.merge(pool, state.accountMicros(), Math::max);
          if (state.backlogged()) {
            smallest.merge(pool, state.accountMicros(), Math::min);
          }
        });
    largest.forEach(smallest::putIfAbsent);
    return smallest;
  }
}
