package org.almondslip.scheduling;

import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.catalog.Flow;
import org.almondslip.protocol.wire.FlowOffer;

/** What routers have offered to one agent, and the choice among it. */
public interface OfferScheduler {

  /**
   * Replaces the offer of a router for a flow.
   *
   * @param routerConnection the connection to the router
   * @param flow the flow
   * @param offer the offer; one with nothing waiting withdraws it
   * @param now the current time, in milliseconds
   */
  void offer(long routerConnection, Flow flow, FlowOffer offer, long now);

  /**
   * Forgets all offers of a router.
   *
   * @param routerConnection the connection to the router
   */
  void withdrawAll(long routerConnection);

  /**
   * Chooses the flow and router that get the next slot. One waiting request of the chosen offer is
   * reserved, so that repeated calls choose further requests.
   *
   * @param eligible which offers may run now
   * @param now the current time, in milliseconds
   * @return the choice, or empty when nothing that may run is offered
   */
  Optional<Selection> selectNext(Predicate<FlowOffer> eligible, long now);

  /**
   * Returns whether a flow has requests waiting in any offer.
   *
   * @param flow the flow
   * @return true when something waits
   */
  boolean hasBacklog(Flow flow);

  /**
   * Returns the number of waiting requests in all offers.
   *
   * @return the number
   */
  int waitingRequests();

  /**
   * The flow and router that get a slot.
   *
   * @param routerConnection the connection to the router
   * @param flow the flow
   * @param offer the offer at the time of the choice
   */
  record Selection(long routerConnection, Flow flow, FlowOffer offer) {}
}
