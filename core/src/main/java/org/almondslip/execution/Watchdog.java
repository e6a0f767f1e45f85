package org.almondslip.execution;

import org.almondslip.accounting.Accounts;
import org.almondslip.error.ErrorCode;

/** Enforces deadlines and the progress limit, and updates the charges of running requests. */
final class Watchdog {

  private final AgentLimits limits;

  private final Accounts accounts;

  private final Workload workload;

  private final Runner runner;

  /**
   * Creates a watchdog.
   *
   * @param limits the limits of the agent
   * @param accounts the charges of the flows
   * @param workload the requests held by the agent
   * @param runner the runner that starts and stops requests
   */
  Watchdog(AgentLimits limits, Accounts accounts, Workload workload, Runner runner) {
    this.limits = limits;
    this.accounts = accounts;
    this.workload = workload;
    this.runner = runner;
  }

  /**
   * Checks all staged and running requests.
   *
   * @param now the current time, in milliseconds
   */
  void check(long now) {
    for (Request request : workload.runningRequests()) {
      accounts.progress(request.token(), request.slotMillis(now));
      if (request.isPastDeadline(now)) {
        runner.stop(request, ErrorCode.DEADLINE_EXCEEDED, now);
      } else if (request.isStalled(limits.progressMillis(), now)) {
        runner.stop(request, ErrorCode.TARGET_TIMEOUT, now);
      }
    }
    for (Request request : workload.staged()) {
      if (request.isPastDeadline(now)) {
        runner.stop(request, ErrorCode.DEADLINE_EXCEEDED, now);
      }
    }
  }
}
