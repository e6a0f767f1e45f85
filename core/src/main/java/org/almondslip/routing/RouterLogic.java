package org.almondslip.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.almondslip.catalog.Catalog;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Ran;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Routing logic as a deterministic state machine.
 *
 * <p>Methods named {@code on...} process events and must be called from a single thread. Their
 * results are calls of {@link RouterEffects} and {@link Peer#send}.
 */
public final class RouterLogic {

  private final Clock clock;

  private final OfferBatch batch = new OfferBatch();

  private final RouterState state;

  private final RequestAdmission admission;

  private final OfferPlanner planner;

  private final Dispatcher dispatcher;

  private final RequestFinisher finisher;

  private final AnswerRelay relay;

  /** Continuation of attempts whose connection was lost. */
  private final AttemptReattacher reattacher;

  /**
   * Creates the logic of a router without peers and without a catalog.
   *
   * @param incarnation the incarnation of this router
   * @param region the region of this router
   * @param settings the limits and intervals
   * @param registry the crash records known to this process
   * @param clock the source of time
   * @param random the random source that orders equally suitable agents
   * @param effects the effects
   */
  public RouterLogic(
      long incarnation,
      String region,
      RoutingSettings settings,
      SuspectRegistry registry,
      Clock clock,
      UniformRandomProvider random,
      RouterEffects effects) {
    this.clock = clock;
    RoutingCounters counters = new RoutingCounters();
    InFlightTable inFlight = new InFlightTable(incarnation);
    OutlierEjector ejector = new OutlierEjector();
    this.state =
        new RouterState(
            settings,
            new RequestTable(counters, effects),
            new RequestQueues(),
            inFlight,
            new AgentTable(ejector, inFlight),
            ejector,
            new SuspectBroadcaster(registry, effects),
            new CostEstimator(),
            new RetryBudget(clock.millis()),
            counters);
    this.admission = new RequestAdmission(state);
    this.planner = new OfferPlanner(state, batch, region, random, effects);
    this.dispatcher = new Dispatcher(state, planner);
    this.finisher = new RequestFinisher(state, planner);
    this.relay = new AnswerRelay(state, finisher, effects);
    this.reattacher = new AttemptReattacher(state, finisher, relay);
  }

  /**
   * Replaces the catalog.
   *
   * @param next the catalog in force
   */
  public void onCatalog(Catalog next) {
    admission.onCatalog(next);
    state.agents().onCatalog(next);
    state.queues().retain(flowId -> next.flow(flowId).isPresent());
    planAll();
    batch.flush();
  }

  /**
   * Replaces the set of instances that receive no new requests.
   *
   * @param instances the instances that are marked as leaving
   */
  public void onLeaving(Set<String> instances) {
    state.agents().onLeaving(instances);
    planAll();
    batch.flush();
  }

  /**
   * Applies crash records from durable storage, so that a newly started router knows them.
   *
   * @param notices the crash records
   */
  public void onStoredSuspects(List<SuspectNotice> notices) {
    state.suspects().onStored(notices);
    finisher.refuseCrashingRequests(clock.millis());
    batch.flush();
  }

  /**
   * Admits or refuses a request of a caller.
   *
   * @param request the request
   */
  public void onRequest(CallerRequest request) {
    long now = clock.millis();
    state.budget().onRequest();
    PendingRequest pending = admission.toPending(request, now);
    Optional<Outcome> refusal = admission.refuse(pending, now);
    if (refusal.isPresent()) {
      state.requests().refuse(request.caller(), refusal.get());
    } else {
      state.requests().add(pending);
      state.queues().add(pending, now);
      planner.plan(state.queues().of(pending.flow()), now);
    }
    batch.flush();
  }

  /**
   * Records that a caller has consumed bytes of its answer.
   *
   * @param caller the request
   * @param bytes the bytes consumed since the last call
   */
  public void onConsumed(long caller, long bytes) {
    state.requests().find(caller).ifPresent(pending -> relay.onConsumed(pending, bytes));
  }

  /**
   * Cancels the request of a caller that has disconnected. It causes no further effects.
   *
   * @param caller the request
   */
  public void onCallerGone(long caller) {
    Optional<PendingRequest> pending = state.requests().find(caller);
    if (pending.isPresent()) {
      finisher.stop(pending.get(), clock.millis());
      state.requests().cancel(pending.get());
      planner.plan(state.queues().of(pending.get().flow()), clock.millis());
    }
    batch.flush();
  }

  /**
   * Adds a new connection.
   *
   * @param peer the connection
   */
  public void onPeerOpen(Peer peer) {
    state.suspects().addPeer(peer);
    if (peer.peer().role() == Role.AGENT && !state.agents().hasConnectionTo(peer.peer())) {
      reattacher.onOpen(state.agents().open(peer), clock.millis());
      planAll();
    }
    batch.flush();
  }

  /**
   * Removes a connection that has ended.
   *
   * @param peer the connection
   * @param byPeer whether the other side ended it, which indicates that its process has ended
   */
  public void onPeerClosed(Peer peer, boolean byPeer) {
    long now = clock.millis();
    state.suspects().removePeer(peer);
    state.agents().close(peer);
    reattacher.onClosed(peer, byPeer, now);
    planAll();
    batch.flush();
  }

  /**
   * Processes a frame. Frames unrelated to routing are ignored.
   *
   * @param peer the connection
   * @param frame the frame
   */
  public void onFrame(Peer peer, Frame frame) {
    if (frame.hasSuspectNotice()) {
      onNotice(peer, frame.getSuspectNotice());
    } else {
      state.agents().find(peer.id()).ifPresent(link -> onAgentFrame(link, frame));
    }
    batch.flush();
  }

  /** Processes timeouts and replans queues that are due. Called every 10 ms. */
  public void onTick() {
    long now = clock.millis();
    reattacher.onTick(now);
    expire(now);
    for (FlowQueue queue : state.queues().all()) {
      if (queue.isPlanDue(now)) {
        planner.plan(queue, now);
      }
      if (queue.unavailableFor(now, state.settings().noTargetMillis()) && !queue.isEmpty()) {
        refuseWithoutTarget(queue);
      }
    }
    batch.flush();
  }

  /** Refuses all new requests from now on because the process is shutting down. */
  public void onDrain() {
    admission.onDrain();
  }

  /** Ends all requests because the drain time limit has been reached. */
  public void onDrainLimit() {
    admission.onDrain();
    for (PendingRequest pending : state.requests().all()) {
      finisher.abort(pending, ErrorCode.DRAINING, "the router stops", clock.millis());
    }
    for (FlowQueue queue : state.queues().all()) {
      planner.plan(queue, clock.millis());
    }
    batch.flush();
  }

  /**
   * Returns whether a drain has been started and all requests have ended.
   *
   * @return true when the process may stop
   */
  public boolean drained() {
    return admission.draining() && state.requests().isEmpty();
  }

  /**
   * Returns a snapshot of the state for metrics.
   *
   * @return a copy
   */
  public RoutingStats stats() {
    RoutingCounters counters = state.counters();
    return new RoutingStats(
        counters.outcomes(),
        counters.byName(),
        counters.waitMillis(),
        state.queues().waiting(),
        state.inFlight().size(),
        state.requests().heldBytes(),
        state.agents().all().size());
  }

  /**
   * Applies a crash record and refuses queued requests that have crashed too many targets.
   *
   * @param peer the connection
   * @param notice the crash record
   */
  private void onNotice(Peer peer, SuspectNotice notice) {
    state.suspects().onNotice(peer, notice);
    if (state.suspects().verdict(notice.getFingerprint()) == Verdict.REFUSED) {
      finisher.refuseCrashingRequests(clock.millis());
    }
  }

  /**
   * Processes a frame of an agent.
   *
   * @param link the agent
   * @param frame the frame
   */
  private void onAgentFrame(AgentLink link, Frame frame) {
    long now = clock.millis();
    switch (frame.getBodyCase()) {
      case HEARTBEAT -> onStatus(link, frame);
      case DRAIN -> {
        link.onDrain();
        planAll();
      }
      case GRANT -> dispatcher.onGrant(link, frame.getGrant(), now);
      case ANSWER -> relay.onAnswer(link, frame.getAnswer(), now);
      default -> {
        // Other frame types are handled by other components of the process.
      }
    }
  }

  /**
   * Applies the status of an agent.
   *
   * @param link the agent
   * @param frame the heartbeat
   */
  private void onStatus(AgentLink link, Frame frame) {
    if (!frame.getHeartbeat().hasAgent()) {
      return;
    }
    boolean before = link.acceptsRequests();
    link.onStatus(frame.getHeartbeat().getAgent());
    if (link.acceptsRequests() != before) {
      planAll();
    }
  }

  /**
   * Ends the requests whose deadline has passed.
   *
   * @param now the current time, in milliseconds
   */
  private void expire(long now) {
    for (PendingRequest pending : state.requests().expired(now)) {
      finisher.abort(pending, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", now);
      state.queues().of(pending.flow()).planAt(now);
      planner.plan(state.queues().of(pending.flow()), now);
    }
  }

  /**
   * Ends the waiting requests of a flow without candidate agents.
   *
   * @param queue the queue of the flow
   */
  private void refuseWithoutTarget(FlowQueue queue) {
    for (PendingRequest pending : state.queues().removeIf(queue, waiting -> true)) {
      Ran ran = pending.ran();
      finisher.abort(
          pending,
          ErrorCode.NO_TARGET,
          ran == Ran.NO ? "no target is connected" : "no target is left for another attempt",
          clock.millis());
    }
  }

  /** Brings the offers of all waiting flows up to date. */
  private void planAll() {
    long now = clock.millis();
    for (FlowQueue queue : state.queues().all()) {
      if (!queue.isEmpty()) {
        planner.plan(queue, now);
      }
    }
  }
}
