package org.almondslip.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides which agents hold an offer for each flow.
 *
 * <p>Each dispatch or decline carries the current offer. Between them an offer is resent only when
 * the number of waiting requests has doubled, when its spill or exclusive flag has changed, or when
 * it has changed and is older than the refresh interval. A long queue therefore causes few frames.
 */
final class OfferPlanner {

  /**
   * Minimum age at which a changed offer is resent, in milliseconds. With 97 waiting flows and 16
   * agents each, an interval of 1 s exceeds the limit of 14 KB/s of control traffic per node.
   */
  private static final long REFRESH_MILLIS = 5_000;

  /**
   * Change in the arrival time of the head request that does not cause a resend, in milliseconds.
   */
  private static final long HEAD_TOLERANCE_MILLIS = 100;

  /**
   * Planning interval of a queue whose offer has been sent to all allowed agents, in milliseconds.
   */
  private static final long IDLE_PLAN_MILLIS = 100;

  /** Minimum interval between two requests for more connections, in milliseconds. */
  private static final long DIAL_INTERVAL_MILLIS = 250;

  private final RouterState state;

  private final OfferBatch batch;

  private final String region;

  /** Random source that orders equally suitable agents. */
  private final UniformRandomProvider random;

  private final RouterEffects effects;

  OfferPlanner(
      RouterState state,
      OfferBatch batch,
      String region,
      UniformRandomProvider random,
      RouterEffects effects) {
    this.state = state;
    this.batch = batch;
    this.region = region;
    this.random = random;
    this.effects = effects;
  }

  /**
   * Updates the offers of a flow.
   *
   * @param queue the queue of the flow
   * @param now the current time, in milliseconds
   */
  void plan(FlowQueue queue, long now) {
    List<AgentLink> candidates =
        queue.isEmpty() ? List.of() : state.agents().candidates(queue.flow().id(), now);
    withdrawFromNonCandidates(queue, candidates, now);
    if (queue.isEmpty()) {
      return;
    }
    queue.recordAvailability(!candidates.isEmpty(), now);
    long waited = now - queue.head().orElseThrow().queuedAt();
    List<AgentLink> allowed = allowed(candidates, waited);
    int holders = refresh(queue, candidates, allowed, now);
    long steps = 1 + Math.max(0, waited) / state.settings().wideningMillis();
    long wanted = Math.min(allowed.size(), steps * state.settings().firstOffers());
    offerToMore(queue, candidates, allowed, wanted - holders, now);
    boolean fullyOffered = wanted == allowed.size() && waited >= state.settings().wideningMillis();
    if ((fullyOffered || candidates.isEmpty())
        && queue.tryRequestConnections(now, DIAL_INTERVAL_MILLIS)) {
      effects.dialMore(queue.flow().pool());
    }
    schedule(queue, fullyOffered, waited, now);
  }

  /**
   * Sets the time at which a queue is planned again unless an event causes it earlier.
   *
   * @param queue the queue
   * @param fullyOffered whether all allowed agents hold the offer
   * @param waited the wait of the head, in milliseconds
   * @param now the current time, in milliseconds
   */
  private void schedule(FlowQueue queue, boolean fullyOffered, long waited, long now) {
    long untilSpill = state.settings().spillAfterMillis() - waited;
    long interval = fullyOffered ? IDLE_PLAN_MILLIS : state.settings().wideningMillis();
    queue.planAt(now + (untilSpill > 0 ? Math.min(interval, untilSpill) : interval));
  }

  /**
   * Builds the offer of a flow for one agent.
   *
   * @param queue the queue of the flow
   * @param link the agent
   * @param candidates the candidates of the flow
   * @param now the current time, in milliseconds
   * @return the offer, with nothing waiting when the agent should not grant
   */
  FlowOffer offerFor(FlowQueue queue, AgentLink link, List<AgentLink> candidates, long now) {
    FlowOffer.Builder offer = FlowOffer.newBuilder().setFlowId(queue.flow().id());
    if (!candidates.contains(link)) {
      return offer.build();
    }
    Predicate<PendingRequest> eligible = AgentTable.eligibleFor(link, candidates);
    Optional<PendingRequest> head = queue.first(eligible);
    if (head.isEmpty()) {
      return offer.build();
    }
    PendingRequest first = head.get();
    long estimate = state.costs().estimateMillis(queue.flow().id(), first.request().hintMillis());
    return offer
        .setWaiting(queue.countEligible(eligible))
        .setHeadAgeMs(clampToInt(now - first.arrivedAt()))
        .setEstimateMs(clampToInt(estimate))
        .setSpill(isSpill(link, candidates))
        .setExclusive(state.suspects().verdict(first.fingerprint()) == Verdict.SUSPECT)
        .build();
  }

  /**
   * Clamps a number to the range from 0 to {@link Integer#MAX_VALUE}.
   *
   * @param value the number
   * @return the clamped number
   */
  static int clampToInt(long value) {
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, value));
  }

  /**
   * Withdraws the offer from agents that are no longer candidates of the flow.
   *
   * @param queue the queue of the flow
   * @param candidates the candidates of the flow
   * @param now the current time, in milliseconds
   */
  private void withdrawFromNonCandidates(FlowQueue queue, List<AgentLink> candidates, long now) {
    int flowId = queue.flow().id();
    for (AgentLink link : state.agents().all()) {
      if (link.sentOffer(flowId).isPresent() && !candidates.contains(link)) {
        batch.add(link, FlowOffer.newBuilder().setFlowId(flowId).build(), now);
      }
    }
  }

  /**
   * Returns the candidates whose region allows them to hold an offer.
   *
   * @param candidates the candidates of the flow
   * @param waited the wait of the head, in milliseconds
   * @return the candidates in the local region, or all candidates after the spill time or when the
   *     local region has none
   */
  private List<AgentLink> allowed(List<AgentLink> candidates, long waited) {
    List<AgentLink> own = new ArrayList<>();
    for (AgentLink link : candidates) {
      if (isOwnRegion(link)) {
        own.add(link);
      }
    }
    return own.isEmpty() || waited >= state.settings().spillAfterMillis() ? candidates : own;
  }

  /**
   * Resends the offer to the agents whose copy is stale.
   *
   * @param queue the queue of the flow
   * @param candidates the candidates of the flow
   * @param allowed the agents that may hold an offer
   * @param now the current time, in milliseconds
   * @return the number of allowed agents that hold an offer
   */
  private int refresh(
      FlowQueue queue, List<AgentLink> candidates, List<AgentLink> allowed, long now) {
    int holders = 0;
    for (AgentLink link : allowed) {
      Optional<AgentLink.SentOffer> held = link.sentOffer(queue.flow().id());
      if (held.isPresent()) {
        holders++;
        FlowOffer fresh = offerFor(queue, link, candidates, now);
        if (isStale(held.get(), fresh, now)) {
          batch.add(link, fresh, now);
        }
      }
    }
    return holders;
  }

  /**
   * Returns whether an offer must be resent.
   *
   * @param held the offer that the agent holds
   * @param fresh the offer as it should be
   * @param now the current time, in milliseconds
   * @return true when the difference is large enough
   */
  private static boolean isStale(AgentLink.SentOffer held, FlowOffer fresh, long now) {
    FlowOffer old = held.offer();
    if (fresh.getWaiting() == 0
        || fresh.getWaiting() >= 2L * old.getWaiting()
        || fresh.getExclusive() != old.getExclusive()
        || fresh.getSpill() != old.getSpill()) {
      return true;
    }
    long headMoved = held.sentAt() - old.getHeadAgeMs() - (now - fresh.getHeadAgeMs());
    boolean changed =
        fresh.getWaiting() != old.getWaiting() || Math.abs(headMoved) > HEAD_TOLERANCE_MILLIS;
    return changed && now - held.sentAt() >= REFRESH_MILLIS;
  }

  /**
   * Sends the offer to more agents, those with the most free slots first.
   *
   * @param queue the queue of the flow
   * @param candidates the candidates of the flow
   * @param allowed the agents that may hold an offer
   * @param count the number of agents to add, possibly none
   * @param now the current time, in milliseconds
   */
  private void offerToMore(
      FlowQueue queue, List<AgentLink> candidates, List<AgentLink> allowed, long count, long now) {
    if (count <= 0) {
      return;
    }
    List<AgentLink> others = new ArrayList<>();
    for (AgentLink link : allowed) {
      if (link.sentOffer(queue.flow().id()).isEmpty()) {
        others.add(link);
      }
    }
    shuffle(others);
    others.sort(
        Comparator.<AgentLink, Boolean>comparing(link -> !isOwnRegion(link))
            .thenComparing(link -> -link.freeSlots()));
    long left = count;
    for (AgentLink link : others) {
      FlowOffer offer = offerFor(queue, link, candidates, now);
      if (left > 0 && offer.getWaiting() > 0) {
        batch.add(link, offer, now);
        left--;
      }
    }
  }

  /**
   * Shuffles links in place.
   *
   * @param links the links
   */
  private void shuffle(List<AgentLink> links) {
    for (int i = links.size() - 1; i > 0; i--) {
      int other = random.nextInt(i + 1);
      AgentLink moved = links.get(i);
      links.set(i, links.get(other));
      links.set(other, moved);
    }
  }

  /**
   * Returns whether an offer to an agent spills over to another region.
   *
   * @param link the agent
   * @param candidates the candidates of the flow
   * @return true when the agent is in another region and the local region has a candidate
   */
  private boolean isSpill(AgentLink link, List<AgentLink> candidates) {
    return !isOwnRegion(link) && candidates.stream().anyMatch(this::isOwnRegion);
  }

  /**
   * Returns whether an agent is in the region of this router.
   *
   * @param link the agent
   * @return true when it is
   */
  private boolean isOwnRegion(AgentLink link) {
    return link.peer().peer().region().equals(region);
  }
}
