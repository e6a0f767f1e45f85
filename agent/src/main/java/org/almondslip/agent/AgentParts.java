package org.almondslip.agent;

import io.vertx.core.Vertx;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.almondslip.accounting.AccountLedger;
import org.almondslip.accounting.DigestNode;
import org.almondslip.accounting.FlowDirectory;
import org.almondslip.accounting.PortionRule;
import org.almondslip.agent.AgentSettings.SchedulingSettings;
import org.almondslip.catalog.Catalog;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.ExecutionCounters;
import org.almondslip.membership.DialSchedule;
import org.almondslip.membership.Member;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.AgentLiveness;
import org.almondslip.order.ClaimCounters;
import org.almondslip.order.ClaimLimits;
import org.almondslip.order.TableClaims;
import org.almondslip.platform.FleetView;
import org.almondslip.protocol.wire.Announce;
import org.almondslip.protocol.wire.Role;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.scheduling.PolicyOfferScheduler;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * State machines of an agent, wired with each other. All run on the decision thread.
 *
 * @param logic the grants and requests
 * @param claims the claims of idempotency keys
 * @param digest the node of the digest tree
 * @param book the choice among the offers
 * @param fleet the catalog and members of the fleet
 * @param links the connections to other agents
 */
record AgentParts(
    AgentLogic logic,
    TableClaims claims,
    DigestNode digest,
    PolicyOfferScheduler book,
    FleetView fleet,
    FleetLinks links) {

  /**
   * What the state machines reach outside the decision thread.
   *
   * @param vertx the event loop of the platform's clients
   * @param target the client of the target
   * @param decision runs callbacks on the decision thread
   * @param dial opens an inner connection
   * @param announcement builds the announcement of this agent
   */
  record Surroundings(
      Vertx vertx,
      TargetClient target,
      Executor decision,
      Consumer<String> dial,
      Supplier<Announce> announcement) {}

  /**
   * Creates the state machines.
   *
   * @param settings the settings of the agent
   * @param self this agent
   * @param clock the source of time
   * @param outside what the state machines reach outside the decision thread
   * @param counters the counters of the agent
   * @param claimCounters the counters of claims
   * @return the state machines
   */
  static AgentParts of(
      AgentSettings settings,
      PeerIdentity self,
      Clock clock,
      Surroundings outside,
      ExecutionCounters counters,
      ClaimCounters claimCounters) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    FleetView fleet =
        new FleetView(
            outside.vertx(), settings.platform(), self, clock, random, outside.decision());
    Supplier<Catalog> catalog = fleet::catalog;
    SchedulingSettings scheduling = settings.scheduling();
    FlowDirectory flows = FlowDirectory.of(catalog);
    AccountLedger ledger =
        new AccountLedger(
            PortionRule.REACH, self.target(), flows, scheduling.largestCostMillis(), random);
    PolicyOfferScheduler book =
        new PolicyOfferScheduler(scheduling.policy(), ledger, scheduling.localitySlackMillis());
    DialSchedule schedule = new DialSchedule(clock, random);
    Announcer announcer = new Announcer(schedule, outside.dial(), outside.announcement());
    FleetLinks links = new FleetLinks(member(self), fleet, schedule, outside.dial(), announcer);
    DigestNode digest =
        new DigestNode(
            scheduling.digest(), member(self), ledger, book::backloggedFlows, flows, clock, links);
    AgentLiveness liveness = links;
    TableClaims claims =
        new TableClaims(
            self,
            fleet.tableStore(),
            fleet.objectStore(),
            liveness,
            ClaimLimits.DEFAULT,
            clock,
            claimCounters);
    AgentLogic logic =
        new AgentLogic(
            self,
            settings.limits(),
            clock,
            outside.target(),
            claims,
            book,
            ledger,
            new SuspectRegistry(),
            counters);
    return new AgentParts(logic, claims, digest, book, fleet, links);
  }

  /**
   * Returns this agent as a member of the fleet.
   *
   * @param self the identity of this agent
   * @return the member
   */
  private static Member member(PeerIdentity self) {
    return new Member(
        self.instanceId(),
        Role.AGENT,
        self.region(),
        self.dataCentre(),
        self.innerAddress(),
        self.target(),
        false);
  }
}
