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

/** Agent of a {@link FleetHarness}; other agents use it as their connection to it. */
final class SimulatedAgent implements Peer {

  private static final long ROUTER_ID = 1;

  final Member member;
  final AccountLedger ledger;
  final PolicyOfferScheduler scheduler;
  final DigestNode node;
  private final FleetHarness fleet;
  private final PeerIdentity identity;
  private final Map<Long, Long> startTimes = new HashMap<>();
  private int freeSlots;
  private long nextToken;
  private long correctedInterval;
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
    this.scheduler = new PolicyOfferScheduler(plan.policy(), ledger, 0);
    this.node =
        new DigestNode(
            plan.settings(),
            member,
            ledger,
            scheduler::backloggedFlows,
            fleet,
            fleet.clock,
            (id, frame) -> fleet.send(this, id, frame));
    this.freeSlots = plan.slots();
  }

  void setWaiting(Flow flow, int waiting) {
    scheduler.offer(ROUTER_ID, flow, fleet.offer(flow, waiting), fleet.clock.millis());
  }

  void stop() {
    stopped = true;
  }

  /** Updates running charges once per digest interval, ticks the node and fills free slots. */
  void tick() {
    long now = fleet.clock.millis();
    long interval = now / fleet.plan.settings().intervalMillis();
    if (interval > correctedInterval) {
      correctedInterval = interval;
      startTimes.forEach((token, start) -> ledger.progress(token, now - start));
    }
    node.onTick();
    fillSlots(now);
  }

  private void fillSlots(long now) {
    while (freeSlots > 0) {
      Optional<OfferScheduler.Selection> choice = scheduler.selectNext(offer -> true, now);
      if (choice.isEmpty()) {
        return;
      }
      start(choice.get().flow(), now);
    }
  }

  private void start(Flow flow, long now) {
    freeSlots--;
    long token = nextToken++;
    long smallest = fleet.plan.smallestCostMillis();
    long cost = smallest + fleet.random.nextLong(fleet.plan.largestCostMillis() - smallest + 1);
    ledger.start(token, flow, fleet.plan.meanCostMillis());
    startTimes.put(token, now);
    fleet.started.merge(flow.id(), cost, Long::sum);
    fleet.schedule(cost, () -> end(token, cost));
  }

  private void end(long token, long cost) {
    if (!stopped) {
      ledger.settle(token, cost);
      startTimes.remove(token);
      freeSlots++;
      fillSlots(fleet.clock.millis());
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
