package org.almondslip.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Flow;
import org.almondslip.protocol.wire.FlowOffer;
import org.junit.jupiter.api.Test;

class PolicyOfferSchedulerTest {

  private static final Flow SMALL = Flow.of("small", "belt", 1);
  private static final Flow LARGE = Flow.of("large", "belt", 1);

  /** Guards against a slot that stays idle while a request that may run is offered. */
  @Property(seed = "31", tries = 200)
  void choosesUntilNothingThatMayRunIsLeft(@ForAll long seed, @ForAll Policy policy) {
    Random random = new Random(seed);
    PolicyOfferScheduler book =
        new PolicyOfferScheduler(policy, new FixedAccounts(random.nextInt()), 50);
    int expected = 0;
    for (int offer = 0; offer < 20; offer++) {
      Flow flow = Flow.of("org" + offer, "belt", 1);
      int waiting = random.nextInt(4);
      boolean exclusive = random.nextBoolean();
      expected += exclusive ? 0 : waiting;
      FlowOffer.Builder state = FlowOffer.newBuilder().setWaiting(waiting);
      book.offer(random.nextInt(3), flow, state.setExclusive(exclusive).build(), 0);
    }
    int chosen = 0;
    while (book.selectNext(offer -> !offer.getExclusive(), 0).isPresent()) {
      chosen++;
    }
    assertThat(chosen).isEqualTo(expected);
  }

  /** Guards against each policy choosing by another order than its own. */
  @Test
  void policiesOrderByAccountAgeOrTurn() {
    assertThat(order(Policy.FAIR)).containsExactly("small", "small", "large", "large");
    assertThat(order(Policy.FIFO)).containsExactly("large", "large", "small", "small");
    assertThat(order(Policy.ROUND_ROBIN)).containsExactly("small", "large", "small", "large");
  }

  /** Guards against traffic between regions that neither fills a slot nor closes a gap. */
  @Test
  void spillOfferComesLaterByTheSlack() {
    PolicyOfferScheduler book = new PolicyOfferScheduler(Policy.FAIR, new FixedAccounts(1_000), 50);
    book.offer(1, SMALL, FlowOffer.newBuilder().setWaiting(2).setSpill(true).build(), 0);
    book.offer(2, LARGE, FlowOffer.newBuilder().setWaiting(1).build(), 0);
    assertThat(book.selectNext(offer -> true, 0).orElseThrow().flow()).isEqualTo(LARGE);
    assertThat(book.selectNext(offer -> true, 0).orElseThrow().flow()).isEqualTo(SMALL);
  }

  /** Guards against a router whose requests wait behind younger ones of the same flow. */
  @Test
  void longestWaitingHeadOfTheFlowComesFirst() {
    PolicyOfferScheduler book = new PolicyOfferScheduler(Policy.FAIR, new FixedAccounts(0), 0);
    book.offer(1, SMALL, FlowOffer.newBuilder().setWaiting(1).setHeadAgeMs(10).build(), 100);
    book.offer(2, SMALL, FlowOffer.newBuilder().setWaiting(1).setHeadAgeMs(90).build(), 150);
    assertThat(book.selectNext(offer -> true, 150).orElseThrow().routerConnection()).isEqualTo(2);
    book.withdrawAll(1);
    assertThat(book.hasBacklog(SMALL)).isFalse();
    assertThat(book.waitingRequests()).isZero();
  }

  private static List<String> order(Policy policy) {
    PolicyOfferScheduler book = new PolicyOfferScheduler(policy, new FixedAccounts(1_000), 0);
    book.offer(1, SMALL, FlowOffer.newBuilder().setWaiting(2).setHeadAgeMs(1).build(), 100);
    book.offer(1, LARGE, FlowOffer.newBuilder().setWaiting(2).setHeadAgeMs(90).build(), 100);
    List<String> names = new ArrayList<>();
    for (int choice = 0; choice < 4; choice++) {
      names.add(book.selectNext(offer -> true, 100).orElseThrow().flow().organisation());
    }
    return names;
  }

  /** Accounts that do not change: small ones for all flows but the large one. */
  private record FixedAccounts(long largeMicros) implements Accounts {
    @Override
    public void start(long token, Flow flow, long estimateMillis) {}

    @Override
    public void progress(long token, long elapsedMillis) {}

    @Override
    public void settle(long token, long costMillis) {}

    @Override
    public long estimateMicros(Flow flow) {
      return flow.equals(LARGE) ? largeMicros : 0;
    }
  }
}
