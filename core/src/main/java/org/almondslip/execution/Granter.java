package org.almondslip.execution;

import java.util.List;
import java.util.Optional;
import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.Decline;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.scheduling.OfferScheduler;

/** Grants slots and places in the prefetch stage to routers that offer requests. */
final class Granter {

  /** Name of the target beside this agent. */
  private final String target;

  /** Limits of the agent. */
  private final AgentLimits limits;

  /** Open connections. */
  private final Peers peers;

  /** Choice among the offers. */
  private final OfferScheduler book;

  /** Charges of the flows. */
  private final Accounts accounts;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Counters of the agent. */
  private final ExecutionCounters counters;

  /** Open grants. */
  private final Grants grants;

  /** Offers as they were received. */
  private final OfferLedger ledger;

  /**
   * Creates a granter without offers.
   *
   * @param target the name of the target beside this agent
   * @param limits the limits of the agent
   * @param peers the open connections
   * @param book the choice among the offers
   * @param accounts the charges of the flows
   * @param workload the requests that the agent holds
   * @param counters the counters of the agent
   */
  Granter(
      String target,
      AgentLimits limits,
      Peers peers,
      OfferScheduler book,
      Accounts accounts,
      Workload workload,
      ExecutionCounters counters) {
    this.target = target;
    this.limits = limits;
    this.peers = peers;
    this.book = book;
    this.accounts = accounts;
    this.workload = workload;
    this.counters = counters;
    this.grants = new Grants(limits.grantMillis());
    this.ledger = new OfferLedger(book, grants);
  }

  /**
   * Grants as long as there is room and something eligible is offered.
   *
   * @param catalog the catalog
   * @param slots the slots of the target
   * @param now the current time, in milliseconds
   */
  void grant(Catalog catalog, int slots, long now) {
    while (hasRoom(slots)) {
      Optional<OfferScheduler.Selection> choice =
          book.selectNext(offer -> eligible(catalog, offer), now);
      if (choice.isEmpty()) {
        return;
      }
      peers.find(choice.get().routerConnection()).ifPresent(peer -> send(peer, choice.get(), now));
    }
  }

  /**
   * Takes a decline.
   *
   * @param peer the router
   * @param decline the decline
   * @param now the current time, in milliseconds
   */
  void onDecline(Peer peer, Decline decline, long now) {
    Optional<Grants.Open> grant = grants.take(decline.getGrantId(), peer.id());
    counters.add(
        grant.isPresent()
            ? ExecutionCounters.Count.GRANTS_DECLINED
            : ExecutionCounters.Count.FRAMES_DROPPED,
        1);
    grant.ifPresent(open -> accounts.settle(open.id(), 0));
    if (decline.hasRemaining()) {
      ledger.onOffer(peer.id(), decline.getRemaining(), now);
    }
  }

  /**
   * Removes the grant that a dispatch answers.
   *
   * @param grantId the number of the grant
   * @param connection the connection to the router
   * @param now the current time, in milliseconds
   * @return the grant, or empty when it has expired or was answered before
   */
  Optional<Grants.Open> take(long grantId, long connection, long now) {
    Optional<Grants.Open> grant = grants.take(grantId, connection);
    grant.ifPresent(open -> workload.prefetch().onDispatch(now - open.openedAt()));
    return grant;
  }

  /**
   * Takes an offer.
   *
   * @param connection the connection to the router
   * @param offer the offer
   * @param now the current time, in milliseconds
   */
  void onOffer(long connection, FlowOffer offer, long now) {
    ledger.onOffer(connection, offer, now);
  }

  /**
   * Takes a catalog.
   *
   * @param catalog the catalog
   * @param now the current time, in milliseconds
   */
  void onCatalog(Catalog catalog, long now) {
    ledger.onCatalog(catalog, now);
  }

  /**
   * Frees what expired grants reserved.
   *
   * @param now the current time, in milliseconds
   */
  void expire(long now) {
    for (Grants.Open grant : grants.expire(now)) {
      counters.add(ExecutionCounters.Count.GRANTS_EXPIRED, 1);
      accounts.settle(grant.id(), 0);
      ledger.apply(grant.connection(), grant.flow().id(), now);
    }
  }

  /**
   * Forgets offers and grants of a lost connection.
   *
   * @param connection the connection
   */
  void onClose(long connection) {
    List<Grants.Open> dropped = grants.drop(connection);
    dropped.forEach(grant -> accounts.settle(grant.id(), 0));
    ledger.drop(connection);
  }

  /**
   * Returns the number of open grants.
   *
   * @return the number
   */
  int openCount() {
    return grants.size();
  }

  /**
   * Returns whether another request may be granted.
   *
   * @param slots the slots of the target
   * @return true when a slot or a place in the stage is free
   */
  private boolean hasRoom(int slots) {
    int reserved = workload.runningCount() + workload.stagedCount() + grants.size();
    return slots > 0
        && reserved < slots + workload.prefetch().size(slots, limits.prefetch())
        && !workload.hasExclusive()
        && workload.unacknowledged().bytes() < limits.unacknowledgedBytes();
  }

  /**
   * Returns whether an offer may run here now.
   *
   * @param catalog the catalog
   * @param offer the offer
   * @return true when the flow may use the target, and no other exclusive request is on its way
   */
  private boolean eligible(Catalog catalog, FlowOffer offer) {
    return catalog.targetsOf(offer.getFlowId()).contains(target)
        && !(offer.getExclusive() && grants.hasExclusive());
  }

  /**
   * Sends a grant and charges the flow, so that the next choice already counts it.
   *
   * @param peer the router
   * @param choice the chosen offer
   * @param now the current time, in milliseconds
   */
  private void send(Peer peer, OfferScheduler.Selection choice, long now) {
    FlowOffer offer = choice.offer();
    Grants.Open grant = grants.open(peer.id(), choice.flow(), offer.getExclusive(), now);
    accounts.start(grant.id(), choice.flow(), Integer.toUnsignedLong(offer.getEstimateMs()));
    Grant.Builder frame =
        Grant.newBuilder()
            .setGrantId(grant.id())
            .setFlowId(choice.flow().id())
            .setExclusive(offer.getExclusive());
    peer.send(Frame.newBuilder().setGrant(frame).build());
  }
}
