package org.almondslip.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Offers;

/** Gathers the offers of one event so that each agent gets them in one frame. */
final class OfferBatch {

  /** Offers by connection number. */
  private final Map<Long, Offers.Builder> offers = new LinkedHashMap<>();

  /** Connections by their number. */
  private final Map<Long, Peer> peers = new LinkedHashMap<>();

  /**
   * Adds an offer.
   *
   * @param link the agent that gets it
   * @param offer the offer
   * @param now the current time, in milliseconds
   */
  void add(AgentLink link, FlowOffer offer, long now) {
    long id = link.peer().id();
    peers.put(id, link.peer());
    offers.computeIfAbsent(id, number -> Offers.newBuilder()).addOffers(offer);
    link.recordOffer(offer, now);
  }

  /** Sends everything gathered. */
  void flush() {
    offers.forEach(
        (id, builder) -> peers.get(id).send(Frame.newBuilder().setOffers(builder).build()));
    offers.clear();
    peers.clear();
  }
}
