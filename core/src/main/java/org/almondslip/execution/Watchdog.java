package org.almondslip.execution;

import org.almondslip.accounting.Accounts;
import org.almondslip.error.ErrorCode;

/** Enforces deadlines and the progress limit, and keeps the charges of running requests current. */
final class Watchdog {

  /** Limits of the agent. */
  private final AgentLimits limits;

  /** Charges of the flows. */
  private final Accounts accounts;

  /** Requests that the agent holds. */
  private final Workload workload;

  /** Starts and stops of requests. */
  private final Runner runner;

  /**
   * Creates a watchdog.
   *
   * @param limits the limits of the agent
   * @param accounts the charges of the flows
   * @param workload the requests that the agent holds
   * @param runner the starts and stops of requests
   */
  Watchdog(AgentLimits limits, Accounts accounts, Workload workload, Runner runner) {
    this.limits = limits;
    this.accounts = accounts;
    this.workload = workload;
    this.runner = runner;
  }

  /**
   * Looks at all staged and running requests.
   *
   * @param now the current time, in milliseconds
   */
  void check(long now) {
    for (Request request : workload.runningRequests()) {
      accounts.progress(request.token(), request.elapsed(now));
      if (request.overdue(now)) {
        runner.stop(request, ErrorCode.DEADLINE_EXCEEDED, now);
      } else if (request.hangs(limits.progressMillis(), now)) {
        runner.stop(request, ErrorCode.TARGET_TIMEOUT, now);
      }
    }
    for (Request request : workload.staged()) {
      if (request.overdue(now)) {
        runner.stop(request, ErrorCode.DEADLINE_EXCEEDED, now);
      }
    }
  }
}
