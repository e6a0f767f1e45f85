package org.almondslip.order;

/** What this agent knows about the life of others. */
@FunctionalInterface
public interface AgentLiveness {

  /**
   * Returns whether an incarnation of an agent has surely ended.
   *
   * @param instance the instance of the agent
   * @param incarnation the incarnation of the agent
   * @return true when it has ended; false when it may live
   */
  boolean hasEnded(String instance, long incarnation);
}
