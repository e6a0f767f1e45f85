package org.almondslip.execution;

import java.util.Optional;
import java.util.Set;
import org.almondslip.accounting.Accounts;
import org.almondslip.error.ErrorCode;
import org.almondslip.membership.Peer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Ran;

/** Entry of requests: matches them with grants, refuses repeats and hands staged ones back. */
final class Admission {

  /** Grants of slots. */
  private final Granter granter;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Requests that have ended. */
  private final RequestHistory history;

  /** Ends of requests. */
  private final Finisher finisher;

  /** Crash marks and health of the target. */
  private final CrashWatch crashes;

  /** Reasons to take no new work, kept by the owner. */
  private final Set<DrainReason> drains;

  /** Charges of the flows. */
  private final Accounts accounts;

  /** Counters of the agent. */
  private final ExecutionCounters counters;

  /**
   * Creates an entry.
   *
   * @param granter the grants of slots
   * @param workload the requests that the agent holds
   * @param history the requests that have ended
   * @param finisher the ends of requests
   * @param crashes the crash marks and the health of the target
   * @param drains the reasons to take no new work, kept by the owner
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
   * Takes a request.
   *
   * @param peer the router
   * @param dispatch the request
   * @param now the current time, in milliseconds
   */
  void onDispatch(Peer peer, Dispatch dispatch, long now) {
    Optional<Grants.Open> grant = granter.take(dispatch.getGrantId(), peer.id(), now);
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
        refuse(peer, key, AnswerEnds.failed(ErrorCode.NO_TARGET, ended.get(), detail, 0));
      }
    } else if (grant.isPresent()) {
      admit(peer, dispatch, grant.get(), now);
    } else {
      counters.countEnd(false, Ran.NO);
      history.add(key, Ran.NO);
      String detail = "the grant has expired";
      refuse(peer, key, AnswerEnds.failed(ErrorCode.NO_TARGET, Ran.NO, detail, 0));
    }
  }

  /**
   * Stages a request, or hands it back when the agent takes no work.
   *
   * @param peer the router
   * @param dispatch the request
   * @param grant the grant that it answers
   * @param now the current time, in milliseconds
   */
  private void admit(Peer peer, Dispatch dispatch, Grants.Open grant, long now) {
    RequestKey key = RequestKey.of(dispatch.getRequestId());
    ReplayBuffer buffer = new ReplayBuffer(workload.unacknowledged());
    AnswerStream answer = new AnswerStream(key, buffer, peer);
    Request request = new Request(grant.id(), grant.flow(), dispatch, answer, now);
    workload.stage(request);
    if (request.overdue(now)) {
      finisher.endNotRun(request, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", now);
    } else if (!drains.isEmpty()) {
      finisher.endNotRun(request, ErrorCode.DRAINING, "the agent takes no new work", now);
    } else {
      handBackIfDown(now);
    }
  }

  /**
   * Ends a request that the agent does not hold.
   *
   * @param peer the router
   * @param key the request
   * @param end the end
   */
  private static void refuse(Peer peer, RequestKey key, AnswerEnd end) {
    peer.send(AnswerEnds.frame(key, 0, end));
  }

  /**
   * Hands staged requests back when the target is down.
   *
   * @param now the current time, in milliseconds
   */
  void handBackIfDown(long now) {
    if (!crashes.health().healthy()) {
      handBackStaged(ErrorCode.TARGET_UNREACHABLE, "the target does not answer", now);
    }
  }

  /**
   * Hands staged requests back as not run.
   *
   * @param code why
   * @param detail the reason for people
   * @param now the current time, in milliseconds
   */
  void handBackStaged(ErrorCode code, String detail, long now) {
    workload.staged().forEach(request -> finisher.endNotRun(request, code, detail, now));
  }
}
