package org.almondslip.execution;

import java.util.Optional;
import java.util.Set;
import org.almondslip.accounting.Accounts;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Ran;

/**
 * Admits dispatched requests: matches them with grants, rejects duplicates and returns staged
 * requests to their routers as not run.
 */
final class Admission {

  private final Granter granter;

  private final Workload workload;

  private final RequestHistory history;

  private final Finisher finisher;

  private final CrashWatch crashes;

  /** Active drain reasons, modified by the owner. */
  private final Set<DrainReason> drains;

  private final Accounts accounts;

  private final ExecutionCounters counters;

  /**
   * Creates an admission controller.
   *
   * @param granter the grants of slots
   * @param workload the requests held by the agent
   * @param history the requests that have ended
   * @param finisher the finisher that ends requests
   * @param crashes the crash records and the health of the target
   * @param drains the active drain reasons, modified by the owner
   * @param accounts the charges of the flows
   * @param counters the counters of the agent
   */
  Admission(
      Granter granter,
      Workload workload,
      RequestHistory history,
      Finisher finisher,
      CrashWatch crashes,
      Set<DrainReason> drains,
      Accounts accounts,
      ExecutionCounters counters) {
    this.granter = granter;
    this.workload = workload;
    this.history = history;
    this.finisher = finisher;
    this.crashes = crashes;
    this.drains = drains;
    this.accounts = accounts;
    this.counters = counters;
  }

  /**
   * Handles a dispatched request.
   *
   * @param peer the router
   * @param dispatch the request
   * @param now the current time, in milliseconds
   */
  void onDispatch(Peer peer, Dispatch dispatch, long now) {
    Optional<Grants.Open> grant = granter.redeem(dispatch.getGrantId(), peer.id(), now);
    if (dispatch.hasRemaining()) {
      granter.onOffer(peer.id(), dispatch.getRemaining(), now);
    }
    RequestKey key = RequestKey.of(dispatch.getRequestId());
    Optional<Ran> ended = history.find(key);
    if (workload.find(key).isPresent() || ended.isPresent()) {
      counters.add(ExecutionCounters.Count.FRAMES_REPEATED, 1);
      grant.ifPresent(open -> accounts.settle(open.id(), 0));
      if (ended.isPresent() && workload.find(key).isEmpty()) {
        String detail = "the agent has received this request before";
        sendEnd(peer, key, AnswerEnds.failed(ErrorCode.NO_TARGET, ended.get(), detail, 0));
      }
    } else if (grant.isPresent()) {
      admit(peer, dispatch, grant.get(), now);
    } else {
      counters.countEnd(false, Ran.NO);
      history.add(key, Ran.NO);
      String detail = "the grant has expired";
      sendEnd(peer, key, AnswerEnds.failed(ErrorCode.NO_TARGET, Ran.NO, detail, 0));
    }
  }

  /**
   * Stages a request, or ends it as not run if the agent accepts no requests.
   *
   * @param peer the router
   * @param dispatch the request
   * @param grant the grant that admits the request
   * @param now the current time, in milliseconds
   */
  private void admit(Peer peer, Dispatch dispatch, Grants.Open grant, long now) {
    RequestKey key = RequestKey.of(dispatch.getRequestId());
    ReplayBuffer buffer = new ReplayBuffer(workload.unacknowledged());
    AnswerStream answer = new AnswerStream(key, buffer, peer);
    Request request = new Request(grant.id(), grant.flow(), dispatch, answer, now);
    workload.stage(request);
    if (request.isPastDeadline(now)) {
      finisher.endNotRun(request, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", now);
    } else if (!drains.isEmpty()) {
      finisher.endNotRun(request, ErrorCode.DRAINING, "the agent takes no new work", now);
    } else {
      rejectStagedIfDown(now);
    }
  }

  /**
   * Sends the end of a request that the agent does not hold.
   *
   * @param peer the router
   * @param key the request
   * @param end the end
   */
  private static void sendEnd(Peer peer, RequestKey key, AnswerEnd end) {
    peer.send(AnswerEnds.frame(key, 0, end));
  }

  /**
   * Ends all staged requests as not run if the target is unhealthy.
   *
   * @param now the current time, in milliseconds
   */
  void rejectStagedIfDown(long now) {
    if (!crashes.health().healthy()) {
      rejectStaged(ErrorCode.TARGET_UNREACHABLE, "the target does not answer", now);
    }
  }

  /**
   * Ends all staged requests as not run.
   *
   * @param code the error code
   * @param detail the human-readable reason
   * @param now the current time, in milliseconds
   */
  void rejectStaged(ErrorCode code, String detail, long now) {
    workload.staged().forEach(request -> finisher.endNotRun(request, code, detail, now));
  }
}
