package org.almondslip.order;

/** Knowledge of this agent about which other agents have ended. */
@FunctionalInterface
public interface AgentLiveness {

  /**
   * Returns whether an incarnation of an agent is known to have ended.
   *
   * @param instance the instance of the agent
   * @param incarnation the incarnation of the agent
   * @return true when it has certainly ended; false when it may still be running
   */
  boolean hasEnded(String instance, long incarnation);
}
