package org.almondslip.accounting;

import org.almondslip.catalog.Flow;

/** Estimates the accounts of all flows at one agent and records the charges of its requests. */
public interface Accounts {

  /**
   * Charges the expected cost of a request that starts.
   *
   * @param token the number that identifies the request at this agent
   * @param flow the flow of the request
   * @param estimateMillis the expected slot time, in milliseconds
   */
  void start(long token, Flow flow, long estimateMillis);

  /**
   * Raises the charge of a running request to its slot time so far, when that is higher.
   *
   * @param token the number passed to {@link #start}
   * @param elapsedMillis the slot time so far, in milliseconds
   */
  void progress(long token, long elapsedMillis);

  /**
   * Replaces the charge of a request by its cost and removes the request.
   *
   * @param token the number passed to {@link #start}
   * @param costMillis the slot time used, in milliseconds; 0 when the request did not run
   */
  void settle(long token, long costMillis);

  /**
   * Returns the estimated account of a flow.
   *
   * @param flow the flow
   * @return slot time divided by share in the whole fleet, in microseconds
   */
  long estimateMicros(Flow flow);
}
