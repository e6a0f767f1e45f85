package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.protocol.wire.Decline;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.quarantine.SuspectRegistry.Verdict;
import org.apache.commons.codec.digest.DigestUtils;

/** Answers each grant with a waiting request, or declines it. */
final class Dispatcher {

  private final RouterState state;

  private final OfferPlanner planner;

  Dispatcher(RouterState state, OfferPlanner planner) {
    this.state = state;
    this.planner = planner;
  }

  /**
   * Answers a grant.
   *
   * @param link the agent
   * @param grant the grant
   * @param now the current time, in milliseconds
   */
  void onGrant(AgentLink link, Grant grant, long now) {
    if (!link.registerGrant(grant.getGrantId())) {
      state.counters().count(RoutingCounters.Event.REPEATED_GRANT);
      return;
    }
    Optional<FlowQueue> queue = state.queues().find(grant.getFlowId());
    List<AgentLink> candidates = state.agents().candidates(grant.getFlowId(), now);
    Optional<PendingRequest> next = Optional.empty();
    if (queue.isPresent() && candidates.contains(link)) {
      next = select(queue.get(), link, candidates, grant.getExclusive());
    }
    if (next.isPresent()) {
      dispatch(link, grant, queue.get(), next.get(), now);
    } else {
      decline(link, grant, queue, now);
    }
    queue.ifPresent(changed -> planner.plan(changed, now));
  }

  /**
   * Computes the fingerprint of a request. It includes method and path because most requests to
   * plain services have no body and would otherwise share one fingerprint.
   *
   * @param request the request
   * @return a hash of organisation, pool, method, path and body
   */
  static long fingerprint(CallerRequest request) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    for (String field :
        List.of(request.organisation(), request.pool(), request.method(), request.path())) {
      digest.update(field.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
    }
    for (ByteBuffer buffer : request.body().asReadOnlyByteBufferList()) {
      digest.update(buffer);
    }
    return ByteBuffer.wrap(digest.digest()).getLong();
  }

  /**
   * Selects the first queued request that the agent may receive. A grant that is not exclusive is
   * answered only with a request that is not suspect.
   *
   * @param queue the queue of the flow
   * @param link the agent
   * @param candidates the candidates of the flow
   * @param exclusive whether the target runs nothing else
   * @return the request, or empty when there is none
   */
  private Optional<PendingRequest> select(
      FlowQueue queue, AgentLink link, List<AgentLink> candidates, boolean exclusive) {
    Predicate<PendingRequest> eligible = AgentTable.eligibleFor(link, candidates);
    return queue.first(exclusive ? eligible : eligible.and(pending -> !isSuspect(pending)));
  }

  /**
   * Returns whether a request must run alone.
   *
   * @param pending the request
   * @return true when it is suspected of crashing targets
   */
  private boolean isSuspect(PendingRequest pending) {
    return state.suspects().verdict(pending.fingerprint()) != Verdict.CLEAR;
  }

  /**
   * Sends a request to an agent.
   *
   * @param link the agent
   * @param grant the grant
   * @param queue the queue of the flow
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  private void dispatch(
      AgentLink link, Grant grant, FlowQueue queue, PendingRequest pending, long now) {
    state.queues().dispatch(pending, now);
    link.onDispatch();
    state.counters().count(RoutingCounters.Event.DISPATCH);
    state.counters().addWait(now - pending.queuedAt());
    Attempt attempt = state.inFlight().start(pending, link.peer().peer(), link.peer().id());
    FlowOffer remaining = remaining(link, queue, now);
    Dispatch dispatch =
        toDispatch(attempt, now)
            .setGrantId(grant.getGrantId())
            .setRemaining(remaining)
            .setExclusive(isSuspect(pending))
            .build();
    link.peer().send(Frame.newBuilder().setDispatch(dispatch).build());
    link.recordOffer(remaining, now);
  }

  /**
   * Declines a grant.
   *
   * @param link the agent
   * @param grant the grant
   * @param queue the queue of the flow, empty when the flow never had a request
   * @param now the current time, in milliseconds
   */
  private void decline(AgentLink link, Grant grant, Optional<FlowQueue> queue, long now) {
    state.counters().count(RoutingCounters.Event.DECLINE);
    FlowOffer remaining =
        queue
            .map(known -> remaining(link, known, now))
            .orElse(FlowOffer.newBuilder().setFlowId(grant.getFlowId()).build());
    Decline.Builder decline =
        Decline.newBuilder().setGrantId(grant.getGrantId()).setRemaining(remaining);
    link.peer().send(Frame.newBuilder().setDecline(decline).build());
    link.recordOffer(remaining, now);
  }

  /**
   * Returns the current offer of a flow for an agent.
   *
   * @param link the agent
   * @param queue the queue of the flow
   * @param now the current time, in milliseconds
   * @return the offer
   */
  private FlowOffer remaining(AgentLink link, FlowQueue queue, long now) {
    return planner.offerFor(queue, link, state.agents().candidates(queue.flow().id(), now), now);
  }

  /**
   * Builds the request for an agent.
   *
   * @param attempt the attempt
   * @param now the current time, in milliseconds
   * @return the message without grant id, remaining offer and exclusive flag
   */
  private Dispatch.Builder toDispatch(Attempt attempt, long now) {
    PendingRequest pending = attempt.pending();
    CallerRequest request = pending.request();
    ByteString body = request.body();
    long estimate = state.costs().estimateMillis(pending.flow().id(), request.hintMillis());
    return Dispatch.newBuilder()
        .setRequestId(attempt.id())
        .setOrganisation(request.organisation())
        .setPool(request.pool())
        .setMethod(request.method())
        .setPath(request.path())
        .addAllHeaders(request.headers())
        .setBody(body)
        .setDeadlineMs(OfferPlanner.clampToInt(pending.deadline() - now))
        .setEstimateMs(OfferPlanner.clampToInt(estimate))
        .setIdempotent(pending.idempotent())
        .setIdempotencyKey(request.idempotencyKey())
        .setResumeAfter(pending.events().map(EventSplitter::events).orElse(0))
        .setFingerprint(pending.fingerprint())
        .setAttempt(pending.attempts());
  }
}
