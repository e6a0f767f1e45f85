package org.almondslip.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Flow;
import org.almondslip.protocol.wire.FlowOffer;

/**
 * Offers of all routers to one agent, selected by a {@link Policy}.
 *
 * <p>Within a flow, offers from the agent's own region precede spill offers from other regions.
 * Among these, the router whose first request has waited longest is selected.
 */
public final class PolicyOfferScheduler implements OfferScheduler {

  /** Microseconds per millisecond. */
  private static final long MICROS_PER_MILLI = 1_000L;

  private final Policy policy;

  private final Accounts accounts;

  /** Added to the account balance of a spill offer when it is ranked, in microseconds. */
  private final long localitySlackMicros;

  /** Offers by flow id. */
  private final Map<Integer, FlowOffers> flows = new LinkedHashMap<>();

  /** Number of selections so far. */
  private long selectionCount;

  /**
   * Creates a scheduler without offers.
   *
   * @param policy the order in which offers are selected
   * @param accounts the accounts of the flows
   * @param localitySlackMillis the value added to the account balance of a spill offer when it is
   *     ranked, in milliseconds
   */
  public PolicyOfferScheduler(Policy policy, Accounts accounts, long localitySlackMillis) {
    this.policy = policy;
    this.accounts = accounts;
    this.localitySlackMicros = localitySlackMillis * MICROS_PER_MILLI;
  }

  @Override
  public void offer(long routerConnection, Flow flow, FlowOffer offer, long now) {
    FlowOffers offers = flows.computeIfAbsent(flow.id(), id -> new FlowOffers());
    offers.flow = flow;
    if (offer.getWaiting() == 0) {
      offers.byRouter.remove(routerConnection);
    } else {
      long headSinceMillis = now - Integer.toUnsignedLong(offer.getHeadAgeMs());
      offers.byRouter.put(routerConnection, new Entry(offer, headSinceMillis));
    }
  }

  @Override
  public void withdrawAll(long routerConnection) {
    flows.values().forEach(offers -> offers.byRouter.remove(routerConnection));
  }

  @Override
  public Optional<Selection> selectNext(Predicate<FlowOffer> eligible, long now) {
    Optional<Candidate> best = Optional.empty();
    for (FlowOffers offers : flows.values()) {
      Optional<Candidate> candidate = selectCandidate(offers, eligible);
      if (candidate.isPresent() && (best.isEmpty() || candidate.get().rank < best.get().rank)) {
        best = candidate;
      }
    }
    return best.map(this::reserve);
  }

  @Override
  public boolean hasBacklog(Flow flow) {
    FlowOffers offers = flows.get(flow.id());
    return offers != null && !offers.byRouter.isEmpty();
  }

  @Override
  public int waitingRequests() {
    return flows.values().stream()
        .flatMap(offers -> offers.byRouter.values().stream())
        .mapToInt(entry -> entry.offer.getWaiting())
        .sum();
  }

  /**
   * Returns the flows that have waiting requests in at least one offer.
   *
   * @return the flows
   */
  public Collection<Flow> backloggedFlows() {
    List<Flow> backlogged = new ArrayList<>();
    for (FlowOffers offers : flows.values()) {
      if (!offers.byRouter.isEmpty()) {
        backlogged.add(offers.flow);
      }
    }
    return backlogged;
  }

  /**
   * Removes flows without offers that the catalog no longer contains.
   *
   * @param known accepts the flows that the catalog contains
   */
  public void retainFlows(Predicate<Flow> known) {
    Iterator<FlowOffers> iterator = flows.values().iterator();
    while (iterator.hasNext()) {
      FlowOffers offers = iterator.next();
      if (offers.byRouter.isEmpty() && !known.test(offers.flow)) {
        iterator.remove();
      }
    }
  }

  /**
   * Returns the first offer of a flow in selection order.
   *
   * @param offers the offers of the flow
   * @param eligible accepts the offers that may run now
   * @return the offer with its rank, or empty if no eligible offer exists
   */
  private Optional<Candidate> selectCandidate(FlowOffers offers, Predicate<FlowOffer> eligible) {
    Optional<Map.Entry<Long, Entry>> best = Optional.empty();
    for (Map.Entry<Long, Entry> entry : offers.byRouter.entrySet()) {
      if (eligible.test(entry.getValue().offer)
          && (best.isEmpty() || entry.getValue().precedes(best.get().getValue()))) {
        best = Optional.of(entry);
      }
    }
    return best.map(
        entry ->
            new Candidate(
                entry.getKey(), offers, entry.getValue(), rank(offers, entry.getValue())));
  }

  private long rank(FlowOffers offers, Entry entry) {
    long slack = entry.offer.getSpill() ? localitySlackMicros : 0;
    long account = accounts.estimateMicros(offers.flow) + slack;
    return policy.rank(account, entry.headSinceMillis, offers.lastSelection);
  }

  /**
   * Removes one waiting request from an offer.
   *
   * @param candidate the offer
   * @return the selection
   */
  private Selection reserve(Candidate candidate) {
    candidate.offers.lastSelection = ++selectionCount;
    FlowOffer offer = candidate.entry.offer;
    if (offer.getWaiting() == 1) {
      candidate.offers.byRouter.remove(candidate.routerConnection);
    } else {
      FlowOffer rest = offer.toBuilder().setWaiting(offer.getWaiting() - 1).build();
      candidate.offers.byRouter.put(
          candidate.routerConnection, new Entry(rest, candidate.entry.headSinceMillis));
    }
    return new Selection(candidate.routerConnection, candidate.offers.flow, offer);
  }

  /** Offers of one flow. */
  private static final class FlowOffers {

    /** Offers by router connection. */
    private final Map<Long, Entry> byRouter = new LinkedHashMap<>();

    /** Flow of the most recent offer. */
    private Flow flow;

    /** Sequence number of the last selection of the flow, 0 if there is none. */
    private long lastSelection;
  }

  /**
   * Offer of one router.
   *
   * @param offer the offer
   * @param headSinceMillis the time at which the request at the head of the queue began to wait, in
   *     milliseconds
   */
  private record Entry(FlowOffer offer, long headSinceMillis) {

    /** Returns whether this offer is selected before another one of the same flow. */
    private boolean precedes(Entry other) {
      if (offer.getSpill() != other.offer.getSpill()) {
        return other.offer.getSpill();
      }
      return headSinceMillis < other.headSinceMillis;
    }
  }

  /**
   * Eligible offer with its rank.
   *
   * @param routerConnection the connection to the router
   * @param offers the offers of the flow
   * @param entry the offer
   * @param rank the rank; the lowest one is selected first
   */
  private record Candidate(long routerConnection, FlowOffers offers, Entry entry, long rank) {}
}
