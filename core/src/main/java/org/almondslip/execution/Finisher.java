package org.almondslip.execution;

import org.almondslip.accounting.Accounts;
import org.almondslip.error.ErrorCode;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Ran;

/** Ends requests: settles their charge, frees their slot and records whether they ran. */
final class Finisher {

  private final Accounts accounts;

  private final Workload workload;

  private final RequestHistory history;

  private final ExecutionCounters counters;

  /**
   * Creates a finisher.
   *
   * @param accounts the charges of the flows
   * @param workload the requests held by the agent
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
   * Ends a request that is known not to have run.
   *
   * @param request the request
   * @param code the error code
   * @param detail the human-readable reason
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
   * @return true if the request was exclusive
   */
  boolean end(Request request, AnswerEnd end, long cost, long now) {
    final boolean exclusive = workload.release(request);
    accounts.settle(request.token(), cost);
    counters.countEnd(end.getComplete(), end.getRan());
    if (end.getComplete() && cost > 0) {
      workload.prefetch().onEnded(cost);
    }
    history.add(request.key(), end.getRan());
    request.end(end, now);
    if (request.answer().buffer().isEmpty()) {
      workload.remove(request);
    }
    return exclusive;
  }
}
