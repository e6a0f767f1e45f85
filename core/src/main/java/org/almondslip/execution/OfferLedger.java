package org.almondslip.execution;

import java.util.HashMap;
import java.util.Map;
import org.almondslip.catalog.Catalog;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.scheduling.OfferScheduler;

/**
 * Last offer of each router and flow as it was received.
 *
 * <p>The offer book gets each offer less the open grants. A router answers grants in order, so an
 * offer that arrives while a grant is open still counts the request that the grant will take. The
 * ledger also offers again when a grant expires and when the catalog makes a flow known.
 */
final class OfferLedger {

  /** Offers that the agent chooses from. */
  private final OfferScheduler book;

  /** Grants that no router has answered yet. */
  private final Grants grants;

  /** Last offers by connection and flow identity. */
  private final Map<Long, Map<Integer, Received>> offers = new HashMap<>();

  /** Catalog that says which flows exist. */
  private Catalog catalog = Catalog.EMPTY;

  /**
   * An offer with the time of its arrival.
   *
   * @param offer the offer
   * @param at when it arrived, in milliseconds
   */
  private record Received(FlowOffer offer, long at) {

    /**
     * Returns the offer as it would be made now.
     *
     * @param granted the open grants of the flow at the router
     * @param now the current time, in milliseconds
     * @return the offer without the granted requests
     */
    FlowOffer less(int granted, long now) {
      return offer.toBuilder()
          .setWaiting(Math.max(0, offer.getWaiting() - granted))
          .setHeadAgeMs((int) (offer.getHeadAgeMs() + now - at))
          .build();
    }
  }

  /**
   * Creates an empty ledger.
   *
   * @param book the offers that the agent chooses from
   * @param grants the open grants
   */
  OfferLedger(OfferScheduler book, Grants grants) {
    this.book = book;
    this.grants = grants;
  }

  /**
   * Takes an offer.
   *
   * @param connection the connection to the router
   * @param offer the offer
   * @param now the current time, in milliseconds
   */
  void onOffer(long connection, FlowOffer offer, long now) {
    Map<Integer, Received> own = offers.computeIfAbsent(connection, id -> new HashMap<>());
    own.put(offer.getFlowId(), new Received(offer, now));
    apply(connection, offer.getFlowId(), now);
    if (offer.getWaiting() == 0) {
      own.remove(offer.getFlowId());
    }
  }

  /**
   * Offers a flow again after one of its grants was answered or has expired.
   *
   * @param connection the connection to the router
   * @param flowId the identity of the flow
   * @param now the current time, in milliseconds
   */
  void apply(long connection, int flowId, long now) {
    Received received = offers.getOrDefault(connection, Map.of()).get(flowId);
    if (received != null) {
      FlowOffer rest = received.less(grants.count(connection, flowId), now);
      catalog.flow(flowId).ifPresent(flow -> book.offer(connection, flow, rest, now));
    }
  }

  /**
   * Forgets the offers of a router.
   *
   * @param connection the connection to the router
   */
  void drop(long connection) {
    offers.remove(connection);
    book.withdrawAll(connection);
  }

  /**
   * Takes a catalog and makes all offers again, since flows and shares may have changed.
   *
   * @param next the catalog
   * @param now the current time, in milliseconds
   */
  void onCatalog(Catalog next, long now) {
    catalog = next;
    offers.forEach(
        (connection, flows) -> flows.keySet().forEach(flow -> apply(connection, flow, now)));
  }
}
