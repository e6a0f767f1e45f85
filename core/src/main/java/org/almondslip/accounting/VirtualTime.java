package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Computes the account that an idle flow is raised to when it becomes backlogged.
 *
 * <p>It is the account that the flow would have if it had been backlogged continuously. The virtual
 * time of a target is the smallest account of the backlogged flows that reach it; the virtual time
 * of a flow is the largest one of its targets. The smallest account of the whole pool would be too
 * low: a flow that reaches only a few overloaded targets lags without limit, and other flows would
 * be raised only to its account.
 */
final class VirtualTime {

  /** Smallest account of the backlogged flows by target, in microseconds. */
  private final Map<String, Long> smallest = new HashMap<>();

  /** Largest account of all flows by target, in microseconds. */
  private final Map<String, Long> largest = new HashMap<>();

  /**
   * Computes the virtual time of each target.
   *
   * @param states the states of the flows by identity
   * @param directory the reach of each flow
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
   * @return the smallest account of the backlogged flows, or the largest account of all flows when
   *     none is backlogged, in microseconds; empty when no flow reaches the target
   */
  OptionalLong atTarget(String target) {
    Long account = smallest.getOrDefault(target, largest.get(target));
    return account == null ? OptionalLong.empty() : OptionalLong.of(account);
  }

  /**
   * Returns the virtual time of a flow.
   *
   * @param targets the reach of the flow
   * @return the largest virtual time of the targets, in microseconds; empty when none has one
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
