package org.almondslip.routing;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.FlowOffer;

/** Connection to an agent, with the agent's last status and the offers sent to it. */
final class AgentLink {

  /** Number of recent grant ids that are kept to detect duplicate grants. */
  private static final int MAX_RECENT_GRANTS = 256;

  private final Peer peer;

  /** Offers that the agent holds, by flow identity. */
  private final Map<Integer, SentOffer> offers = new HashMap<>();

  /** Ids of the last grants, oldest first. */
  private final Set<Long> recentGrants = new LinkedHashSet<>();

  /** Last status of the agent. */
  private AgentStatus status = AgentStatus.newBuilder().setHealthy(true).build();

  /** Free slots in the last status minus the requests dispatched since then. */
  private int freeSlots;

  /** Whether the agent is draining and accepts no new requests. */
  private boolean draining;

  /**
   * Offer that has been sent to the agent.
   *
   * @param offer the offer
   * @param sentAt the time of sending, in milliseconds
   */
  record SentOffer(FlowOffer offer, long sentAt) {}

  AgentLink(Peer peer) {
    this.peer = peer;
  }

  Peer peer() {
    return peer;
  }

  /**
   * Returns the target that the agent serves.
   *
   * @return the name of the target
   */
  String target() {
    return peer.peer().target();
  }

  /**
   * Applies the status in a heartbeat. It can also end a drain, since a target that was marked as
   * leaving can be made active again.
   *
   * @param reported the status
   */
  void onStatus(AgentStatus reported) {
    status = reported;
    freeSlots = reported.getFreeSlots();
    draining = reported.getDraining();
  }

  /** Records that the agent accepts no new requests. */
  void onDrain() {
    draining = true;
  }

  /**
   * Returns whether the agent accepts new requests.
   *
   * @return true when it is healthy and not draining
   */
  boolean acceptsRequests() {
    return status.getHealthy() && !draining;
  }

  /** Reduces the free slots by one dispatched request. */
  void onDispatch() {
    freeSlots--;
  }

  /**
   * Returns the estimated number of free slots.
   *
   * @return the number; negative when more requests were dispatched than slots were free
   */
  int freeSlots() {
    return freeSlots;
  }

  /**
   * Records a grant and returns whether it is new.
   *
   * @param grantId the id of the grant
   * @return false for a duplicate of a recent grant
   */
  boolean registerGrant(long grantId) {
    if (!recentGrants.add(grantId)) {
      return false;
    }
    if (recentGrants.size() > MAX_RECENT_GRANTS) {
      recentGrants.remove(recentGrants.iterator().next());
    }
    return true;
  }

  /**
   * Returns the offer that the agent currently holds.
   *
   * @param flowId the identity of the flow
   * @return the offer, or empty when it holds none
   */
  Optional<SentOffer> sentOffer(int flowId) {
    return Optional.ofNullable(offers.get(flowId));
  }

  /**
   * Records an offer that has been sent.
   *
   * @param offer the offer; one without waiting requests withdraws the previous one
   * @param now the current time, in milliseconds
   */
  void recordOffer(FlowOffer offer, long now) {
    if (offer.getWaiting() == 0) {
      offers.remove(offer.getFlowId());
    } else {
      offers.put(offer.getFlowId(), new SentOffer(offer, now));
    }
  }
}
