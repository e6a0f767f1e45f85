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

/** Grants slots and prefetch places to routers that offer requests. */
final class Granter {

  /** Name of the target beside this agent. */
  private final String target;

  private final AgentLimits limits;

  private final Peers peers;

  private final OfferScheduler scheduler;

  private final Accounts accounts;

  private final Workload workload;

  private final ExecutionCounters counters;

  private final Grants grants;

  /** Most recent offers as received. */
  private final OfferLedger ledger;

  /**
   * Creates a granter without offers.
   *
   * @param target the name of the target beside this agent
   * @param limits the limits of the agent
   * @param peers the open connections
   * @param scheduler the scheduler that selects among the offers
   * @param accounts the charges of the flows
   * @param workload the requests held by the agent
   * @param counters the counters of the agent
   */
  Granter(
      String target,
      AgentLimits limits,
      Peers peers,
      OfferScheduler scheduler,
      Accounts accounts,
      Workload workload,
      ExecutionCounters counters) {
    this.target = target;
    this.limits = limits;
    this.peers = peers;
    this.scheduler = scheduler;
    this.accounts = accounts;
    this.workload = workload;
    this.counters = counters;
    this.grants = new Grants(limits.grantMillis());
    this.ledger = new OfferLedger(scheduler, grants);
  }

  /**
   * Issues grants while there is capacity and an eligible offer.
   *
   * @param catalog the catalog
   * @param slots the slots of the target
   * @param now the current time, in milliseconds
   */
  void grant(Catalog catalog, int slots, long now) {
    while (hasRoom(slots)) {
      Optional<OfferScheduler.Selection> choice =
          scheduler.selectNext(offer -> eligible(catalog, offer), now);
      if (choice.isEmpty()) {
        return;
      }
      peers.find(choice.get().routerConnection()).ifPresent(peer -> send(peer, choice.get(), now));
    }
  }

  /**
   * Handles a decline.
   *
   * @param peer the router
   * @param decline the decline
   * @param now the current time, in milliseconds
   */
  void onDecline(Peer peer, Decline decline, long now) {
    Optional<Grants.Open> grant = grants.remove(decline.getGrantId(), peer.id());
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
   * @return the grant, or empty if it has expired or was answered before
   */
  Optional<Grants.Open> redeem(long grantId, long connection, long now) {
    Optional<Grants.Open> grant = grants.remove(grantId, connection);
    grant.ifPresent(open -> workload.prefetch().onDispatch(now - open.openedAt()));
    return grant;
  }

  /**
   * Handles an offer.
   *
   * @param connection the connection to the router
   * @param offer the offer
   * @param now the current time, in milliseconds
   */
  void onOffer(long connection, FlowOffer offer, long now) {
    ledger.onOffer(connection, offer, now);
  }

  /**
   * Handles a catalog.
   *
   * @param catalog the catalog
   * @param now the current time, in milliseconds
   */
  void onCatalog(Catalog catalog, long now) {
    ledger.onCatalog(catalog, now);
  }

  /**
   * Removes expired grants and releases their reservations.
   *
   * @param now the current time, in milliseconds
   */
  void expire(long now) {
    for (Grants.Open grant : grants.expire(now)) {
      counters.add(ExecutionCounters.Count.GRANTS_EXPIRED, 1);
      accounts.settle(grant.id(), 0);
      ledger.reoffer(grant.connection(), grant.flow().id(), now);
    }
  }

  /**
   * Removes the offers and grants of a lost connection.
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
   * @return true if a slot or a prefetch place is free
   */
  private boolean hasRoom(int slots) {
    int reserved = workload.runningCount() + workload.stagedCount() + grants.size();
    return slots > 0
        && reserved < slots + workload.prefetch().size(slots, limits.prefetch())
        && !workload.hasExclusive()
        && workload.unacknowledged().bytes() < limits.unacknowledgedBytes();
  }

  /**
   * Returns whether an offer may be granted now.
   *
   * @param catalog the catalog
   * @param offer the offer
   * @return true if the flow may use the target and the offer would not add a second exclusive
   *     grant
   */
  private boolean eligible(Catalog catalog, FlowOffer offer) {
    return catalog.targetsOf(offer.getFlowId()).contains(target)
        && !(offer.getExclusive() && grants.hasExclusive());
  }

  /**
   * Sends a grant and charges the flow immediately, so that the next selection accounts for it.
   *
   * @param peer the router
   * @param choice the selected offer
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
