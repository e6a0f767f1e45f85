package org.almondslip.scheduling;

import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.catalog.Flow;
import org.almondslip.protocol.wire.FlowOffer;

/** Offers of routers to one agent and the selection of the next request among them. */
public interface OfferScheduler {

  /**
   * Replaces the offer of a router for a flow.
   *
   * @param routerConnection the connection to the router
   * @param flow the flow
   * @param offer the offer; one without waiting requests withdraws the previous offer
   * @param now the current time, in milliseconds
   */
  void offer(long routerConnection, Flow flow, FlowOffer offer, long now);

  /**
   * Removes all offers of a router.
   *
   * @param routerConnection the connection to the router
   */
  void withdrawAll(long routerConnection);

  /**
   * Selects the flow and router that receive the next slot. The selection removes one waiting
   * request from the offer, so that repeated calls select further requests.
   *
   * @param eligible accepts the offers that may run now
   * @param now the current time, in milliseconds
   * @return the selection, or empty if no eligible offer exists
   */
  Optional<Selection> selectNext(Predicate<FlowOffer> eligible, long now);

  /**
   * Returns whether any offer has waiting requests of a flow.
   *
   * @param flow the flow
   * @return true if at least one request is waiting
   */
  boolean hasBacklog(Flow flow);

  /**
   * Returns the number of waiting requests in all offers.
   *
   * @return the number of requests
   */
  int waitingRequests();

  /**
   * The flow and router that receive a slot.
   *
   * @param routerConnection the connection to the router
   * @param flow the flow
   * @param offer the offer as it was before the selection
   */
  record Selection(long routerConnection, Flow flow, FlowOffer offer) {}
}
