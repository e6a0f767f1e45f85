package org.almondslip.faults;

import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.Flow;
import org.almondslip.execution.AgentLimits;
import org.almondslip.execution.AgentLogic;
import org.almondslip.execution.ExecutionCounters;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.TableClaims;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.scheduling.Policy;
import org.almondslip.scheduling.PolicyOfferScheduler;

/** An agent process around the real decisions. */
final class AgentNode extends Node {

  private static final long SLACK_MILLIS = 1_000;

  private final PeerIdentity identity;
  private final AgentLogic logic;
  private final TableClaims claims;

  AgentNode(
      String name,
      long incarnation,
      FakeTarget target,
      Timeline timeline,
      FleetClaims claims,
      Catalog catalog) {
    super(name);
    this.identity =
        new PeerIdentity(name, incarnation, Role.AGENT, "seoul", "seoul-1", "127.0.0.1:2", name);
    this.claims = claims.of(this, identity);
    this.logic =
        new AgentLogic(
            identity,
            AgentLimits.DEFAULT,
            timeline.clock(),
            target.effectsFor(this),
            this.claims,
            new PolicyOfferScheduler(Policy.FAIR, NoAccounts.INSTANCE, SLACK_MILLIS),
            NoAccounts.INSTANCE,
            new SuspectRegistry(),
            new ExecutionCounters());
    logic.onCatalog(catalog);
  }

  PeerIdentity identity() {
    return identity;
  }

  AgentLogic logic() {
    return logic;
  }

  @Override
  void onTick() {
    logic.onTick();
    claims.onTick();
  }

  @Override
  void onOpen(Link.End end) {
    logic.onOpen(end);
  }

  @Override
  void onClose(Link.End end, boolean byPeer) {
    logic.onClose(end.id());
  }

  @Override
  void onFrame(Link.End end, Frame frame) {
    logic.onFrame(end, frame);
  }

  @Override
  Heartbeat heartbeat() {
    return Heartbeat.newBuilder().setAgent(logic.status()).build();
  }

  /** Accounts that charge nothing; these tests are not about fairness. */
  private enum NoAccounts implements Accounts {
    INSTANCE;

    @Override
    public void start(long token, Flow flow, long estimateMillis) {}

    @Override
    public void progress(long token, long elapsedMillis) {}

    @Override
    public void settle(long token, long costMillis) {}

    @Override
    public long estimateMicros(Flow flow) {
      return 0;
    }
  }
}
