package org.almondslip.execution;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.catalog.Catalog;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.scheduling.OfferScheduler;

/**
 * Most recent offer of each router and flow as received.
 *
 * <p>The scheduler receives each offer reduced by the open grants. A router answers grants in
 * order, so an offer that arrives while a grant is open still includes the request for that grant.
 * Offers are also resubmitted when a grant expires and when the catalog changes.
 */
final class OfferLedger {

  /** Scheduler that receives the adjusted offers. */
  private final OfferScheduler scheduler;

  /** Grants that no router has answered yet. */
  private final Grants grants;

  /** Most recent offers by connection and flow id. */
  private final Map<Long, Map<Integer, Received>> offers = new HashMap<>();

  /** Catalog that defines the known flows. */
  private Catalog catalog = Catalog.EMPTY;

  /**
   * An offer with the time of its arrival.
   *
   * @param offer the offer
   * @param receivedAt when it arrived, in milliseconds
   */
  private record Received(FlowOffer offer, long receivedAt) {

    /**
     * Returns the offer adjusted to the current time and the open grants.
     *
     * @param granted the open grants of the flow at the router
     * @param now the current time, in milliseconds
     * @return the offer without the granted requests
     */
    FlowOffer withoutGranted(int granted, long now) {
      return offer.toBuilder()
          .setWaiting(Math.max(0, offer.getWaiting() - granted))
          .setHeadAgeMs((int) (offer.getHeadAgeMs() + now - receivedAt))
          .build();
    }
  }

  /**
   * Creates an empty ledger.
   *
   * @param scheduler the scheduler that receives the adjusted offers
   * @param grants the open grants
   */
  OfferLedger(OfferScheduler scheduler, Grants grants) {
    this.scheduler = scheduler;
    this.grants = grants;
  }

  /**
   * Handles an offer.
   *
   * @param connection the connection to the router
   * @param offer the offer
   * @param now the current time, in milliseconds
   */
  void onOffer(long connection, FlowOffer offer, long now) {
    Map<Integer, Received> own = offers.computeIfAbsent(connection, id -> new HashMap<>());
    own.put(offer.getFlowId(), new Received(offer, now));
    reoffer(connection, offer.getFlowId(), now);
    if (offer.getWaiting() == 0) {
      own.remove(offer.getFlowId());
    }
  }

  /**
   * Resubmits the most recent offer of a flow, reduced by the flow's open grants.
   *
   * @param connection the connection to the router
   * @param flowId the id of the flow
   * @param now the current time, in milliseconds
   */
  void reoffer(long connection, int flowId, long now) {
    Received received = offers.getOrDefault(connection, Map.of()).get(flowId);
    if (received != null) {
      FlowOffer rest = received.withoutGranted(grants.count(connection, flowId), now);
      catalog.flow(flowId).ifPresent(flow -> scheduler.offer(connection, flow, rest, now));
    }
  }

  /**
   * Removes the offers of a router.
   *
   * @param connection the connection to the router
   */
  void drop(long connection) {
    offers.remove(connection);
    scheduler.withdrawAll(connection);
  }

  /**
   * Handles a catalog and resubmits all offers, because flows and shares may have changed.
   *
   * @param next the catalog
   * @param now the current time, in milliseconds
   */
  void onCatalog(Catalog next, long now) {
    catalog = next;
    offers.forEach(
        (connection, flows) -> flows.keySet().forEach(flow -> reoffer(connection, flow, now)));
  }
}
