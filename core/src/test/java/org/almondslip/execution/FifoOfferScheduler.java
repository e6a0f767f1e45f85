package org.almondslip.execution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.catalog.Flow;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.scheduling.OfferScheduler;

/** Offer scheduler that serves offers in order of arrival. */
final class FifoOfferScheduler implements OfferScheduler {

  /** Offers by connection and flow. */
  private final Map<String, Selection> offers = new LinkedHashMap<>();

  @Override
  public void offer(long routerConnection, Flow flow, FlowOffer offer, long now) {
    String key = routerConnection + "/" + flow.id();
    if (offer.getWaiting() == 0) {
      offers.remove(key);
    } else {
      offers.put(key, new Selection(routerConnection, flow, offer));
    }
  }

  @Override
  public void withdrawAll(long routerConnection) {
    offers.values().removeIf(choice -> choice.routerConnection() == routerConnection);
  }

  @Override
  public Optional<Selection> selectNext(Predicate<FlowOffer> eligible, long now) {
    Optional<Selection> found =
        offers.values().stream().filter(choice -> eligible.test(choice.offer())).findFirst();
    found.ifPresent(
        choice -> {
          FlowOffer offer = choice.offer();
          FlowOffer rest = offer.toBuilder().setWaiting(offer.getWaiting() - 1).build();
          offer(choice.routerConnection(), choice.flow(), rest, now);
        });
    return found;
  }

  @Override
  public boolean hasBacklog(Flow flow) {
    return offers.values().stream().anyMatch(choice -> choice.flow().id() == flow.id());
  }

  @Override
  public int waitingRequests() {
    return offers.values().stream().mapToInt(choice -> choice.offer().getWaiting()).sum();
  }
}
