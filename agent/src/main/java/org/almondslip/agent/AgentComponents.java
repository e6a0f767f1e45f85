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
 * Wired state machines of an agent. All of them are confined to the event thread.
 *
 * @param logic grants slots and runs requests
 * @param claims the claims of idempotency keys
 * @param digest the node of the digest tree
 * @param scheduler chooses among the offers of the routers
 * @param fleet the catalog and members of the fleet
 * @param connections the connections to other agents
 */
record AgentComponents(
    AgentLogic logic,
    TableClaims claims,
    DigestNode digest,
    PolicyOfferScheduler scheduler,
    FleetView fleet,
    AgentConnections connections) {

  /**
   * Dependencies of the state machines that live outside the event thread.
   *
   * @param vertx the Vert.x instance of the platform clients
   * @param target the client of the target
   * @param eventExecutor runs callbacks on the event thread
   * @param dial opens a connection to an address given as {@code ip:port}
   * @param announcement builds the announcement of this agent
   */
  record Dependencies(
      Vertx vertx,
      TargetClient target,
      Executor eventExecutor,
      Consumer<String> dial,
      Supplier<Announce> announcement) {}

  /**
   * Creates the state machines.
   *
   * @param settings the settings of the agent
   * @param self the identity of this agent
   * @param clock the source of time
   * @param dependencies the dependencies outside the event thread
   * @param counters the counters of the agent
   * @param claimCounters the counters of claims
   * @return the state machines
   */
  static AgentComponents of(
      AgentSettings settings,
      PeerIdentity self,
      Clock clock,
      Dependencies dependencies,
      ExecutionCounters counters,
      ClaimCounters claimCounters) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    FleetView fleet =
        new FleetView(
            dependencies.vertx(),
            settings.platform(),
            self,
            clock,
            random,
            dependencies.eventExecutor());
    Supplier<Catalog> catalog = fleet::catalog;
    SchedulingSettings scheduling = settings.scheduling();
    FlowDirectory flows = FlowDirectory.of(catalog);
    AccountLedger ledger =
        new AccountLedger(
            PortionRule.REACH, self.target(), flows, scheduling.largestCostMillis(), random);
    PolicyOfferScheduler scheduler =
        new PolicyOfferScheduler(scheduling.policy(), ledger, scheduling.localitySlackMillis());
    DialSchedule schedule = new DialSchedule(clock, random);
    Announcer announcer = new Announcer(schedule, dependencies.dial(), dependencies.announcement());
    AgentConnections connections =
        new AgentConnections(member(self), fleet, schedule, dependencies.dial(), announcer);
    DigestNode digest =
        new DigestNode(
            scheduling.digest(),
            member(self),
            ledger,
            scheduler::backloggedFlows,
            flows,
            clock,
            connections);
    AgentLiveness liveness = connections;
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
            dependencies.target(),
            claims,
            scheduler,
            ledger,
            new SuspectRegistry(),
            counters);
    return new AgentComponents(logic, claims, digest, scheduler, fleet, connections);
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
