package org.almondslip.agent;

/** Something that happened outside the decision thread and is handled on it. */
@FunctionalInterface
interface AgentEvent {

  /**
   * Handles the event.
   *
   * @param work the work of the decision thread
   */
  void applyTo(AgentWork work);

  /** Receiver of events, which may be called from any thread. */
  @FunctionalInterface
  interface Sink {

    /**
     * Adds an event.
     *
     * @param event the event
     */
    void put(AgentEvent event);
  }
}
