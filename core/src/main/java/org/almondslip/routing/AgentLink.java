package org.almondslip.routing;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.FlowOffer;

/** Connection to one agent, with what it reported and what it has been offered. */
final class AgentLink {

  /** Grant ids that are remembered to recognise repeated grants. */
  private static final int MAX_RECENT_GRANTS = 256;

  /** Connection. */
  private final Peer peer;

  /** Offers that the agent holds, by flow identity. */
  private final Map<Integer, SentOffer> offers = new HashMap<>();

  /** Ids of the last grants, oldest first. */
  private final Set<Long> recentGrants = new LinkedHashSet<>();

  /** Last status of the agent. */
  private AgentStatus status = AgentStatus.newBuilder().setHealthy(true).build();

  /** Free slots by the last status minus the requests sent since. */
  private int freeSlots;

  /** Whether the agent takes no new work. */
  private boolean draining;

  /**
   * Offer that has been sent.
   *
   * @param offer the offer
   * @param sentAt the time of sending, in milliseconds
   */
  record SentOffer(FlowOffer offer, long sentAt) {}

  /**
   * Creates a link.
   *
   * @param peer the connection
   */
  AgentLink(Peer peer) {
    this.peer = peer;
  }

  /**
   * Returns the connection.
   *
   * @return the connection
   */
  Peer peer() {
    return peer;
  }

  /**
   * Returns the target beside the agent.
   *
   * @return the name of the target
   */
  String target() {
    return peer.peer().target();
  }

  /**
   * Takes a status from a heartbeat. It also ends a drain, since a target that was marked leaving
   * can be made active again.
   *
   * @param reported the status
   */
  void onStatus(AgentStatus reported) {
    status = reported;
    freeSlots = reported.getFreeSlots();
    draining = reported.getDraining();
  }

  /** Notes that the agent takes no new work. */
  void onDrain() {
    draining = true;
  }

  /**
   * Returns whether the agent takes new work.
   *
   * @return true when it is healthy and not draining
   */
  boolean acceptsRequests() {
    return status.getHealthy() && !draining;
  }

  /** Counts a request sent to the agent. */
  void onDispatch() {
    freeSlots--;
  }

  /**
   * Returns the free slots as far as they are known.
   *
   * @return the number, negative when more requests were sent than slots were free
   */
  int freeSlots() {
    return freeSlots;
  }

  /**
   * Returns whether a grant is seen for the first time.
   *
   * @param grantId the id of the grant
   * @return false for a repeated grant
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
   * Returns the offer that the agent holds.
   *
   * @param flowId the identity of the flow
   * @return the offer, or empty when it holds none
   */
  Optional<SentOffer> sentOffer(int flowId) {
    return Optional.ofNullable(offers.get(flowId));
  }

  /**
   * Notes an offer that has been sent.
   *
   * @param offer the offer; one with nothing waiting is forgotten
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
