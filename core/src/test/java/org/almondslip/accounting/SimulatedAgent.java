package org.almondslip.accounting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.catalog.Flow;
import org.almondslip.membership.Member;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.scheduling.OfferScheduler;
import org.almondslip.scheduling.PolicyOfferScheduler;

/** One agent of a {@link FleetHarness}; it is its own connection, seen from the other agents. */
final class SimulatedAgent implements Peer {

  private static final long ROUTER = 1;

  final Member member;
  final AccountLedger ledger;
  final PolicyOfferScheduler book;
  final DigestNode node;
  private final FleetHarness fleet;
  private final PeerIdentity identity;
  private final Map<Long, Long> startTimes = new HashMap<>();
  private int freeSlots;
  private long tokens;
  private long corrected;
  private boolean stopped;

  SimulatedAgent(FleetHarness fleet, Member member, int index, long incarnation) {
    final FleetPlan plan = fleet.plan;
    this.fleet = fleet;
    this.member = member;
    this.identity =
        new PeerIdentity(
            member.instanceId(), incarnation, Role.AGENT, "", member.dataCentre(), "", "");
    this.ledger =
        new AccountLedger(
            plan.rule(), member.target(), fleet, plan.largestCostMillis(), fleet.random);
    this.book = new PolicyOfferScheduler(plan.policy(), ledger, 0);
    this.node =
        new DigestNode(
            plan.settings(),
            member,
            ledger,
            book::backloggedFlows,
            fleet,
            fleet.clock,
            (id, frame) -> fleet.send(this, id, frame));
    this.freeSlots = plan.slots();
  }

  void setWaiting(Flow flow, int waiting) {
    book.offer(ROUTER, flow, fleet.offer(flow, waiting), fleet.clock.millis());
  }

  void stop() {
    stopped = true;
  }

  /** Corrects the charges once per digest interval, ticks the node and fills the free slots. */
  void tick() {
    long now = fleet.clock.millis();
    long interval = now / fleet.plan.settings().intervalMillis();
    if (interval > corrected) {
      corrected = interval;
      startTimes.forEach((token, start) -> ledger.progress(token, now - start));
    }
    node.onTick();
    fill(now);
  }

  private void fill(long now) {
    while (freeSlots > 0) {
      Optional<OfferScheduler.Selection> choice = book.selectNext(offer -> true, now);
      if (choice.isEmpty()) {
        return;
      }
      start(choice.get().flow(), now);
    }
  }

  private void start(Flow flow, long now) {
    freeSlots--;
    long token = tokens++;
    long smallest = fleet.plan.smallestCostMillis();
    long cost = smallest + fleet.random.nextLong(fleet.plan.largestCostMillis() - smallest + 1);
    ledger.start(token, flow, fleet.plan.meanCostMillis());
    startTimes.put(token, now);
    fleet.started.merge(flow.id(), cost, Long::sum);
    fleet.at(cost, () -> end(token, cost));
  }

  private void end(long token, long cost) {
    if (!stopped) {
      ledger.settle(token, cost);
      startTimes.remove(token);
      freeSlots++;
      fill(fleet.clock.millis());
    }
  }

  @Override
  public long id() {
    return identity.incarnation();
  }

  @Override
  public PeerIdentity peer() {
    return identity;
  }

  @Override
  public void send(Frame frame) {
    throw new UnsupportedOperationException("the harness sends by instance id");
  }
}
