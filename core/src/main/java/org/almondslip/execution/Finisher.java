package org.almondslip.execution;

import org.almondslip.accounting.Accounts;
import org.almondslip.error.ErrorCode;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Ran;

/** Ends requests: settles their charge, frees their slot and remembers whether they ran. */
final class Finisher {

  /** Charges of the flows. */
  private final Accounts accounts;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Requests that have ended. */
  private final RequestHistory history;

  /** Counters of the agent. */
  private final ExecutionCounters counters;

  /**
   * Creates a finisher.
   *
   * @param accounts the charges of the flows
   * @param workload the requests that the agent holds
   * @param history the requests that have ended
   * @param counters the counters of the agent
   */
  Finisher(
      Accounts accounts, Workload workload, RequestHistory history, ExecutionCounters counters) {
    this.accounts = accounts;
    this.workload = workload;
    this.history = history;
    this.counters = counters;
  }

  /**
   * Ends a request that surely has not run.
   *
   * @param request the request
   * @param code why
   * @param detail the reason for people
   * @param now the current time, in milliseconds
   */
  void endNotRun(Request request, ErrorCode code, String detail, long now) {
    end(request, AnswerEnds.failed(code, Ran.NO, detail, 0), 0, now);
  }

  /**
   * Ends a request and frees its slot.
   *
   * @param request the request
   * @param end the end of its answer
   * @param cost the slot time to charge, in milliseconds
   * @param now the current time, in milliseconds
   * @return true when the request had to run alone
   */
  boolean end(Request request, AnswerEnd end, long cost, long now) {
    final boolean alone = workload.leave(request);
    accounts.settle(request.token(), cost);
    counters.countEnd(end.getComplete(), end.getRan());
    if (end.getComplete() && cost > 0) {
      workload.prefetch().onEnded(cost);
    }
    history.add(request.key(), end.getRan());
    request.end(end, now);
    if (request.answer().buffer().isEmpty()) {
      workload.forget(request);
    }
    return alone;
  }
}
