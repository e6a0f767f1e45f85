package org.almondslip.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Offers;

/** Batches the offers caused by one event so that each agent receives them in one frame. */
final class OfferBatch {

  private final Map<Long, Offers.Builder> offers = new LinkedHashMap<>();

  /** Connections by id. */
  private final Map<Long, Peer> peers = new LinkedHashMap<>();

  /**
   * Adds an offer and records it as sent.
   *
   * @param link the agent that receives it
   * @param offer the offer
   * @param now the current time, in milliseconds
   */
  void add(AgentLink link, FlowOffer offer, long now) {
    long id = link.peer().id();
    peers.put(id, link.peer());
    offers.computeIfAbsent(id, number -> Offers.newBuilder()).addOffers(offer);
    link.recordOffer(offer, now);
  }

  void flush() {
    offers.forEach(
        (id, builder) -> peers.get(id).send(Frame.newBuilder().setOffers(builder).build()));
    offers.clear();
    peers.clear();
  }
}
