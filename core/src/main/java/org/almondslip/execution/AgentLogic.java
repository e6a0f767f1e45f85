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
 * State machine of an agent: grants the slots of its target to routers and runs their requests.
 *
 * <p>All methods are called on one thread, except {@link #status}.
 */
public final class AgentLogic {

  /** Source of time. */
  private final Clock clock;

  /** Name of the target beside this agent. */
  private final String target;

  /** Actions at the target. */
  private final AgentEffects effects;

  /** Choice among the offers. */
  private final OfferScheduler book;

  /** Counters of the agent. */
  private final ExecutionCounters counters;

  /** Open connections. */
  private final Peers peers = new Peers();

  /** Requests that the agent holds. */
  private final Workload workload = new Workload();

  /** Grants of slots. */
  private final Granter granter;

  /** Crash marks and health of the target. */
  private final CrashWatch crashes;

  /** Entry of requests. */
  private final Admission admission;

  /** Events of calls. */
  private final TargetEvents events;

  /** Starts and stops of requests. */
  private final Runner runner;

  /** Connections of answers with routers. */
  private final Deliveries deliveries;

  /** Enforcement of time limits. */
  private final Watchdog watchdog;

  /** Meter of slot use. */
  private final SlotUsage usage;

  /** Reasons to take no new work. */
  private final Set<DrainReason> drains = EnumSet.noneOf(DrainReason.class);

  /** Catalog as last known. */
  private Catalog catalog = Catalog.EMPTY;

  /** Load that the target last reported. */
  private int reportedLoad;

  /** State for heartbeats, read by network threads. */
  private volatile AgentStatus status = AgentStatus.getDefaultInstance();

  /**
   * Creates an agent that has no connection, no catalog and a target of unknown health.
   *
   * @param self this agent
   * @param limits the limits of the agent
   * @param clock the source of time
   * @param effects the actions at the target
   * @param claims the claims of idempotency keys
   * @param book the choice among the offers
   * @param accounts the charges of the flows
   * @param suspects the crash marks that this process knows
   * @param counters the counters of the agent
   */
  public AgentLogic(
      PeerIdentity self,
      AgentLimits limits,
      Clock clock,
      AgentEffects effects,
      Claims claims,
      OfferScheduler book,
      Accounts accounts,
      SuspectRegistry suspects,
      ExecutionCounters counters) {
    this.clock = clock;
    this.target = self.target();
    this.effects = effects;
    this.book = book;
    this.counters = counters;
    RequestHistory history = new RequestHistory(limits.historySize());
    this.granter = new Granter(target, limits, peers, book, accounts, workload, counters);
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
   * Takes a new connection.
   *
   * @param peer the connection
   */
  public void onOpen(Peer peer) {
    peers.add(peer);
    crashes.onOpen(peer);
    drains.stream().findFirst().ifPresent(reason -> peer.send(drainFrame(reason)));
  }

  /**
   * Takes the end of a connection.
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
   * Takes a frame. Frames of other concerns are ignored.
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

  /** Does what is due: expiry of grants, deadlines, progress limits, probes and charges. */
  public void onTick() {
    long now = clock.millis();
    granter.expire(now);
    watchdog.check(now);
    deliveries.expire(now);
    probeIfDue(now);
    proceed();
  }

  /**
   * Takes a catalog.
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
   * Takes the head of a target's answer.
   *
   * @param token the call
   * @param head the head
   */
  public void onTargetHead(long token, AnswerHead head) {
    events.onHead(token, head, clock.millis());
  }

  /**
   * Takes a piece of a target's answer.
   *
   * @param token the call
   * @param data the piece
   */
  public void onTargetData(long token, ByteString data) {
    events.onData(token, data, clock.millis());
  }

  /**
   * Takes the end of a target's answer.
   *
   * @param token the call
   */
  public void onTargetEnd(long token) {
    events.onEnd(token, clock.millis());
    proceed();
  }

  /**
   * Takes the failure of a call.
   *
   * @param token the call
   * @param failure the failure
   */
  public void onTargetFailed(long token, TargetFailure failure) {
    long now = clock.millis();
    events.onFailed(token, failure, now);
    admission.handBackIfDown(now);
    probeIfDue(now);
    proceed();
  }

  /**
   * Takes the result of a probe.
   *
   * @param answered whether the target answered
   */
  public void onProbe(boolean answered) {
    long now = clock.millis();
    crashes.onProbe(answered, now);
    admission.handBackIfDown(now);
    proceed();
  }

  /**
   * Takes the load that the target reports.
   *
   * @param load the requests running or waiting there
   */
  public void onLoad(int load) {
    reportedLoad = load;
    proceed();
  }

  /**
   * Starts or ends a reason to take no new work.
   *
   * @param reason the reason
   * @param active whether it holds now
   */
  public void setDrain(DrainReason reason, boolean active) {
    if (active && drains.add(reason)) {
      peers.broadcast(drainFrame(reason));
      admission.handBackStaged(ErrorCode.DRAINING, reason.detail(), clock.millis());
    } else if (!active) {
      drains.remove(reason);
    }
    proceed();
  }

  /**
   * Returns whether the agent holds no request any more.
   *
   * @return true when nothing is staged, running or unacknowledged
   */
  public boolean isIdle() {
    return workload.isEmpty();
  }

  /**
   * Returns the state for heartbeats. May be called from any thread.
   *
   * @return the state after the last event
   */
  public AgentStatus status() {
    return status;
  }

  /**
   * Takes the result of a claim.
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

  /** Starts what may start, grants what may be granted and publishes the new state. */
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
    int known = book.waitingRequests() + granter.openCount() + ahead;
    usage.update(slots, calling, open ? known : 0, now);
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
   * Builds the frame that tells a peer to send no more work.
   *
   * @param reason the reason
   * @return the frame
   */
  private static Frame drainFrame(DrainReason reason) {
    return Frame.newBuilder().setDrain(Drain.newBuilder().setReason(reason.detail())).build();
  }
}
