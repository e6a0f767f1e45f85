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

  /** A slot must not remain idle while an eligible request is offered. */
  @Property(seed = "31", tries = 200)
  void selectsUntilNoEligibleOfferRemains(@ForAll long seed, @ForAll Policy policy) {
    Random random = new Random(seed);
    PolicyOfferScheduler scheduler =
        new PolicyOfferScheduler(policy, new FixedAccounts(random.nextInt()), 50);
    int expected = 0;
    for (int offer = 0; offer < 20; offer++) {
      Flow flow = Flow.of("org" + offer, "belt", 1);
      int waiting = random.nextInt(4);
      boolean exclusive = random.nextBoolean();
      expected += exclusive ? 0 : waiting;
      FlowOffer.Builder state = FlowOffer.newBuilder().setWaiting(waiting);
      scheduler.offer(random.nextInt(3), flow, state.setExclusive(exclusive).build(), 0);
    }
    int selected = 0;
    while (scheduler.selectNext(offer -> !offer.getExclusive(), 0).isPresent()) {
      selected++;
    }
    assertThat(selected).isEqualTo(expected);
  }

  /** Each policy must apply its own order. */
  @Test
  void policiesOrderByBalanceWaitingTimeOrTurn() {
    assertThat(selectionOrder(Policy.FAIR)).containsExactly("small", "small", "large", "large");
    assertThat(selectionOrder(Policy.FIFO)).containsExactly("large", "large", "small", "small");
    assertThat(selectionOrder(Policy.ROUND_ROBIN))
        .containsExactly("small", "large", "small", "large");
  }

  /**
   * Traffic between regions is justified only if it fills a slot or reduces a difference in
   * service, so a spill offer must be ranked after a regional offer that exceeds it by less than
   * the slack.
   */
  @Test
  void spillOfferIsRankedLaterByTheSlack() {
    PolicyOfferScheduler scheduler =
        new PolicyOfferScheduler(Policy.FAIR, new FixedAccounts(1_000), 50);
    scheduler.offer(1, SMALL, FlowOffer.newBuilder().setWaiting(2).setSpill(true).build(), 0);
    scheduler.offer(2, LARGE, FlowOffer.newBuilder().setWaiting(1).build(), 0);
    assertThat(scheduler.selectNext(offer -> true, 0).orElseThrow().flow()).isEqualTo(LARGE);
    assertThat(scheduler.selectNext(offer -> true, 0).orElseThrow().flow()).isEqualTo(SMALL);
  }

  /** The requests of one router must not wait behind newer requests of the same flow. */
  @Test
  void longestWaitingRequestOfTheFlowIsSelectedFirst() {
    PolicyOfferScheduler scheduler = new PolicyOfferScheduler(Policy.FAIR, new FixedAccounts(0), 0);
    scheduler.offer(1, SMALL, FlowOffer.newBuilder().setWaiting(1).setHeadAgeMs(10).build(), 100);
    scheduler.offer(2, SMALL, FlowOffer.newBuilder().setWaiting(1).setHeadAgeMs(90).build(), 150);
    assertThat(scheduler.selectNext(offer -> true, 150).orElseThrow().routerConnection())
        .isEqualTo(2);
    scheduler.withdrawAll(1);
    assertThat(scheduler.hasBacklog(SMALL)).isFalse();
    assertThat(scheduler.waitingRequests()).isZero();
  }

  private static List<String> selectionOrder(Policy policy) {
    PolicyOfferScheduler scheduler = new PolicyOfferScheduler(policy, new FixedAccounts(1_000), 0);
    scheduler.offer(1, SMALL, FlowOffer.newBuilder().setWaiting(2).setHeadAgeMs(1).build(), 100);
    scheduler.offer(1, LARGE, FlowOffer.newBuilder().setWaiting(2).setHeadAgeMs(90).build(), 100);
    List<String> organisations = new ArrayList<>();
    for (int selection = 0; selection < 4; selection++) {
      organisations.add(
          scheduler.selectNext(offer -> true, 100).orElseThrow().flow().organisation());
    }
    return organisations;
  }

  /** Constant balances: the given one for the large flow and 0 for all others. */
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
