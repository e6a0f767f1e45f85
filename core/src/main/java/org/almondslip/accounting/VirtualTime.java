package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Account that a flow without recent backlog gets when it becomes backlogged.
 *
 * <p>It is the account that the flow would have if it had been backlogged all the time. At each
 * target this is the smallest account of the backlogged flows that reach it; of several targets the
 * flow gets the largest value. The smallest account of the whole pool would be wrong: a flow whose
 * few targets are crowded falls behind without limit, and others would be lifted only to its
 * account.
 */
final class VirtualTime {

  /** Smallest account of the backlogged flows by target, in microseconds. */
  private final Map<String, Long> smallest = new HashMap<>();

  /** Largest account of all flows by target, in microseconds. */
  private final Map<String, Long> largest = new HashMap<>();

  /**
   * Computes the virtual time of all targets.
   *
   * @param states the states of the flows by identity
   * @param directory the reach of the flows
   */
  VirtualTime(Map<Integer, FlowState> states, FlowDirectory directory) {
    states.forEach(
        (id, state) -> {
          for (String target : directory.targetsOf(id)) {
            largest.merge(target, state.accountMicros(), Math::max);
            if (state.backlogged()) {
              smallest.merge(target, state.accountMicros(), Math::min);
            }
          }
        });
  }

  /**
   * Returns the virtual time at one target.
   *
   * @param target the target
   * @return the smallest account of its backlogged flows, or else the largest account of its flows,
   *     in microseconds; empty when no flow reaches it
   */
  OptionalLong atTarget(String target) {
    Long account = smallest.getOrDefault(target, largest.get(target));
    return account == null ? OptionalLong.empty() : OptionalLong.of(account);
  }

  /**
   * Returns the virtual time of a flow.
   *
   * @param targets the reach of the flow
   * @return the largest of the values of its targets, in microseconds; empty when there is none
   */
  OptionalLong of(Set<String> targets) {
    OptionalLong best = OptionalLong.empty();
    for (String target : targets) {
      OptionalLong account = atTarget(target);
      if (account.isPresent() && account.getAsLong() >= best.orElse(0L)) {
        best = account;
      }
    }
    return best;
  }
}
