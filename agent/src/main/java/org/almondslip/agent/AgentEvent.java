package org.almondslip.agent;

/** An event from another thread that is handled on the event thread. */
@FunctionalInterface
interface AgentEvent {

  /**
   * Handles the event.
   *
   * @param work the handler of the events
   */
  void applyTo(AgentWork work);

  /** A thread-safe receiver of events. */
  @FunctionalInterface
  interface Sink {

    /**
     * Enqueues an event.
     *
     * @param event the event
     */
    void put(AgentEvent event);
  }
}
