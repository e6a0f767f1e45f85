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
 * Offers of all routers to one agent, chosen by a policy.
 *
 * <p>Within a flow, offers of the own region come before spill offers, and then the router whose
 * head has waited longest is chosen.
 */
public final class PolicyOfferScheduler implements OfferScheduler {

  /** Microseconds in a millisecond. */
  private static final long MICROS_PER_MILLI = 1_000L;

  /** Order of the offers. */
  private final Policy policy;

  /** Accounts of the flows. */
  private final Accounts accounts;

  /** What is added to the account of a spill offer, in microseconds. */
  private final long localitySlackMicros;

  /** Offers by flow identity. */
  private final Map<Integer, FlowOffers> flows = new LinkedHashMap<>();

  /** Number of the last choice. */
  private long turn;

  /**
   * Creates a book without offers.
   *
   * @param policy the order of the offers
   * @param accounts the accounts of the flows
   * @param localitySlackMillis what is added to the account of a spill offer, in milliseconds
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
      long since = now - Integer.toUnsignedLong(offer.getHeadAgeMs());
      offers.byRouter.put(routerConnection, new Entry(offer, since));
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
      Optional<Candidate> candidate = candidate(offers, eligible);
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
   * Returns the flows with requests waiting in any offer.
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
   * Forgets flows that the catalog no longer contains.
   *
   * @param known which flows exist
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
   * Finds the offer of a flow that would be chosen next.
   *
   * @param offers the offers of the flow
   * @param eligible which offers may run now
   * @return the offer with its rank, or empty when none may run
   */
  private Optional<Candidate> candidate(FlowOffers offers, Predicate<FlowOffer> eligible) {
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

  /**
   * Ranks an offer.
   *
   * @param offers the offers of its flow
   * @param entry the offer
   * @return the rank; smaller ones are chosen first
   */
  private long rank(FlowOffers offers, Entry entry) {
    long slack = entry.offer.getSpill() ? localitySlackMicros : 0;
    long account = accounts.estimateMicros(offers.flow) + slack;
    return policy.rank(account, entry.headSince, offers.lastTurn);
  }

  /**
   * Takes one waiting request from an offer.
   *
   * @param candidate the offer
   * @return the choice
   */
  private Selection reserve(Candidate candidate) {
    candidate.offers.lastTurn = ++turn;
    FlowOffer offer = candidate.entry.offer;
    if (offer.getWaiting() == 1) {
      candidate.offers.byRouter.remove(candidate.router);
    } else {
      FlowOffer rest = offer.toBuilder().setWaiting(offer.getWaiting() - 1).build();
      candidate.offers.byRouter.put(candidate.router, new Entry(rest, candidate.entry.headSince));
    }
    return new Selection(candidate.router, candidate.offers.flow, offer);
  }

  /** Offers of one flow. */
  private static final class FlowOffers {

    /** Offers by router connection. */
    private final Map<Long, Entry> byRouter = new LinkedHashMap<>();

    /** The flow as last offered. */
    private Flow flow;

    /** Number of the last choice that fell on the flow. */
    private long lastTurn;
  }

  /**
   * Offer of one router.
   *
   * @param offer the offer
   * @param headSince the time since which the head of the queue waits, in milliseconds
   */
  private record Entry(FlowOffer offer, long headSince) {

    /**
     * Returns whether this offer is chosen before another of the same flow.
     *
     * @param other the other offer
     * @return true when it comes first
     */
    private boolean precedes(Entry other) {
      if (offer.getSpill() != other.offer.getSpill()) {
        return other.offer.getSpill();
      }
      return headSince < other.headSince;
    }
  }

  /**
   * Offer that may be chosen.
   *
   * @param router the connection to the router
   * @param offers the offers of its flow
   * @param entry the offer
   * @param rank the rank; smaller ones are chosen first
   */
  private record Candidate(long router, FlowOffers offers, Entry entry, long rank) {}
}
