package org.almondslip.accounting;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rank of one agent among the agents that reach a flow.
 *
 * @param agents the number of agents, at least 1
 * @param rank the number of agents before this one, in an order that differs for each flow
 */
record AgentRank(int agents, int rank) {

  /**
   * Computes the rank of an agent by hashing the targets with the flow identity.
   *
   * @param flowId the identity of the flow, which seeds the hash
   * @param targets the targets that the flow reaches
   * @param ownTarget the target that the agent serves
   * @return the rank
   */
  static AgentRank of(int flowId, Set<String> targets, String ownTarget) {
    long ownHash = hash(flowId, ownTarget);
    int before = 0;
    for (String target : targets) {
      if (!target.equals(ownTarget) && Long.compareUnsigned(hash(flowId, target), ownHash) < 0) {
        before++;
      }
    }
    int others = targets.contains(ownTarget) ? targets.size() - 1 : targets.size();
    return new AgentRank(others + 1, before);
  }

  /**
   * Returns the position of the agent in the order as a number from 0 to 1. The positions of all
   * agents are spread evenly, so their sum is nearly the same for every flow.
   *
   * @param jitter a number from 0 to 1 that shifts the position within the rank
   * @return the position
   */
  double position(double jitter) {
    return (rank + jitter) / agents;
  }

  /**
   * Computes the hash that orders the targets of a flow.
   *
   * @param flowId the identity of the flow
   * @param target the target
   * @return the hash
   */
  private static long hash(int flowId, String target) {
    byte[] name = target.getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(name, 0, name.length, flowId)[0];
  }
}
