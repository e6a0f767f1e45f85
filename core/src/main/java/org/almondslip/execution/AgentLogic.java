package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.EnumSet;
import java.util.Set;
import org.almondslip.accounting.Accounts;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.ClaimResult;
import org.almondslip.order.Claims;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Drain;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.scheduling.OfferScheduler;
import org.almondslip.time.Clock;

/**
 * State machine of an agent, which grants the slots of its target to routers and runs their
 * requests.
 *
 * <p>All methods must be called on the same thread, except {@link #status}.
 */
public final class AgentLogic {

  private final Clock clock;

  /** Name of the target beside this agent. */
  private final String target;

  private final AgentEffects effects;

  private final OfferScheduler scheduler;

  private final ExecutionCounters counters;

  private final Peers peers = new Peers();

  private final Workload workload = new Workload();

  private final Granter granter;

  private final CrashWatch crashes;

  private final Admission admission;

  private final TargetEvents events;

  private final Runner runner;

  private final Deliveries deliveries;

  private final Watchdog watchdog;

  private final SlotUsage usage;

  /** Active drain reasons. */
  private final Set<DrainReason> drains = EnumSet.noneOf(DrainReason.class);

  /** Most recent catalog. */
  private Catalog catalog = Catalog.EMPTY;

  /** Most recent load reported by the target. */
  private int reportedLoad;

  /** Status for heartbeats, read by network threads. */
  private volatile AgentStatus status = AgentStatus.getDefaultInstance();

  /**
   * Creates an agent that has no connection, no catalog and a target of unknown health.
   *
   * @param self this agent
   * @param limits the limits of the agent
   * @param clock the clock
   * @param effects the operations on the target
   * @param claims the claims of idempotency keys
   * @param scheduler the scheduler that selects among the offers
   * @param accounts the charges of the flows
   * @param suspects the crash records known to this process
   * @param counters the counters of the agent
   */
  public AgentLogic(
      PeerIdentity self,
      AgentLimits limits,
      Clock clock,
      AgentEffects effects,
      Claims claims,
      OfferScheduler scheduler,
      Accounts accounts,
      SuspectRegistry suspects,
      ExecutionCounters counters) {
    this.clock = clock;
    this.target = self.target();
    this.effects = effects;
    this.scheduler = scheduler;
    this.counters = counters;
    RequestHistory history = new RequestHistory(limits.historySize());
    this.granter = new Granter(target, limits, peers, scheduler, accounts, workload, counters);
    this.crashes =
        new CrashWatch(self, suspects, peers, counters, new TargetHealth(limits.probeMillis()));
    Finisher finisher = new Finisher(accounts, workload, history, counters);
    this.events = new TargetEvents(limits, effects, claims, workload, finisher, crashes, counters);
    this.runner =
        new Runner(
            self.incarnation(),
            effects,
            claims,
            workload,
            finisher,
            events,
            crashes,
            this::onClaim);
    this.deliveries = new Deliveries(limits, workload, history, runner, events, counters);
    this.admission =
        new Admission(granter, workload, history, finisher, crashes, drains, accounts, counters);
    this.watchdog = new Watchdog(limits, accounts, workload, runner);
    this.usage = new SlotUsage(counters, clock.millis());
  }

  /**
   * Handles a new connection.
   *
   * @param peer the connection
   */
  public void onOpen(Peer peer) {
    peers.add(peer);
    crashes.onOpen(peer);
    drains.stream().findFirst().ifPresent(reason -> peer.send(drainFrame(reason)));
  }

  /**
   * Handles the end of a connection.
   *
   * @param connection the number of the connection
   */
  public void onClose(long connection) {
    peers.remove(connection);
    granter.onClose(connection);
    deliveries.onClose(connection, clock.millis());
    proceed();
  }

  /**
   * Handles a frame. Ignores frame types that are not addressed to an agent's state machine.
   *
   * @param peer the sender
   * @param frame the frame
   */
  public void onFrame(Peer peer, Frame frame) {
    long now = clock.millis();
    switch (frame.getBodyCase()) {
      case OFFERS ->
          frame
              .getOffers()
              .getOffersList()
              .forEach(offer -> granter.onOffer(peer.id(), offer, now));
      case DECLINE -> granter.onDecline(peer, frame.getDecline(), now);
      case DISPATCH -> admission.onDispatch(peer, frame.getDispatch(), now);
      case CANCEL -> deliveries.onCancel(frame.getCancel(), now);
      case ATTACH -> deliveries.onAttach(peer, frame.getAttach(), now);
      case ANSWER_ACK -> deliveries.onAck(frame.getAnswerAck(), now);
      case SUSPECT_NOTICE -> crashes.onNotice(peer, frame.getSuspectNotice());
      default -> {
        return;
      }
    }
    proceed();
  }

  /**
   * Performs periodic work: expires grants, enforces deadlines and progress limits, probes the
   * target and updates charges.
   */
  public void onTick() {
    long now = clock.millis();
    granter.expire(now);
    watchdog.check(now);
    deliveries.expire(now);
    probeIfDue(now);
    proceed();
  }

  /**
   * Handles a catalog.
   *
   * @param next the catalog
   */
  public void onCatalog(Catalog next) {
    catalog = next;
    granter.onCatalog(next, clock.millis());
    boolean leaving =
        next.target(target).filter(known -> known.state() == Target.State.LEAVING).isPresent();
    setDrain(DrainReason.TARGET_LEAVING, leaving);
  }

  /**
   * Handles the head of a target's answer.
   *
   * @param token the call
   * @param head the head
   */
  public void onTargetHead(long token, AnswerHead head) {
    events.onHead(token, head, clock.millis());
  }

  /**
   * Handles a chunk of a target's answer.
   *
   * @param token the call
   * @param data the chunk
   */
  public void onTargetData(long token, ByteString data) {
    events.onData(token, data, clock.millis());
  }

  /**
   * Handles the end of a target's answer.
   *
   * @param token the call
   */
  public void onTargetEnd(long token) {
    events.onEnd(token, clock.millis());
    proceed();
  }

  /**
   * Handles the failure of a call.
   *
   * @param token the call
   * @param failure the failure
   */
  public void onTargetFailed(long token, TargetFailure failure) {
    long now = clock.millis();
    events.onFailed(token, failure, now);
    admission.rejectStagedIfDown(now);
    probeIfDue(now);
    proceed();
  }

  /**
   * Handles the result of a probe.
   *
   * @param answered whether the target answered
   */
  public void onProbe(boolean answered) {
    long now = clock.millis();
    crashes.onProbe(answered, now);
    admission.rejectStagedIfDown(now);
    proceed();
  }

  /**
   * Handles the load that the target reports.
   *
   * @param load the requests running or waiting there
   */
  public void onLoad(int load) {
    reportedLoad = load;
    proceed();
  }

  /**
   * Sets or clears a reason to refuse new requests.
   *
   * @param reason the reason
   * @param active whether the reason applies from now on
   */
  public void setDrain(DrainReason reason, boolean active) {
    if (active && drains.add(reason)) {
      peers.broadcast(drainFrame(reason));
      admission.rejectStaged(ErrorCode.DRAINING, reason.detail(), clock.millis());
    } else if (!active) {
      drains.remove(reason);
    }
    proceed();
  }

  /**
   * Returns whether the agent holds no requests.
   *
   * @return true if nothing is staged, running or unacknowledged
   */
  public boolean isIdle() {
    return workload.isEmpty();
  }

  /**
   * Returns the status for heartbeats. Thread-safe.
   *
   * @return the status after the most recent event
   */
  public AgentStatus status() {
    return status;
  }

  /**
   * Handles the result of a claim.
   *
   * @param token the request
   * @param result the result
   */
  private void onClaim(long token, ClaimResult result) {
    runner.onClaim(token, result, clock.millis());
    proceed();
  }

  /**
   * Probes the target if a probe is due.
   *
   * @param now the current time, in milliseconds
   */
  private void probeIfDue(long now) {
    if (crashes.health().startProbe(now)) {
      effects.probe();
    }
  }

  /** Starts eligible requests, issues grants and publishes the new status. */
  private void proceed() {
    long now = clock.millis();
    int slots = catalog.target(target).map(Target::slots).orElse(0);
    runner.startStaged(slots, now);
    boolean open = drains.isEmpty() && crashes.health().usable();
    if (open) {
      granter.grant(catalog, slots, now);
    }
    int calling = workload.callingCount();
    int ahead = workload.runningCount() - calling + workload.stagedCount();
    int knownRequests = scheduler.waitingRequests() + granter.openCount() + ahead;
    usage.update(slots, calling, open ? knownRequests : 0, now);
    counters.set(slots, calling, ahead, workload.hasExclusive());
    int free = Math.max(0, slots - workload.runningCount() - granter.openCount());
    status =
        AgentStatus.newBuilder()
            .setSlots(slots)
            .setFreeSlots(free)
            .setStaged(workload.stagedCount())
            .setHealthy(crashes.health().usable())
            .setDraining(!drains.isEmpty())
            .setReportedLoad(reportedLoad)
            .build();
  }

  /**
   * Builds the frame that tells a peer to stop sending requests.
   *
   * @param reason the reason
   * @return the frame
   */
  private static Frame drainFrame(DrainReason reason) {
    return Frame.newBuilder().setDrain(Drain.newBuilder().setReason(reason.detail())).build();
  }
}
