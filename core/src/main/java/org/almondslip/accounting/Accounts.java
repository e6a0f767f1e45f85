package org.almondslip.accounting;

import org.almondslip.catalog.Flow;

/** Accounts of all flows as one agent estimates them, and the charges that it adds. */
public interface Accounts {

  /**
   * Charges the expected cost of a request that starts.
   *
   * @param token a number that identifies the request at this agent
   * @param flow the flow of the request
   * @param estimateMillis the expected slot time, in milliseconds
   */
  void start(long token, Flow flow, long estimateMillis);

  /**
   * Raises the charge of a running request when it has run longer than expected.
   *
   * @param token the request
   * @param elapsedMillis the slot time so far, in milliseconds
   */
  void progress(long token, long elapsedMillis);

  /**
   * Replaces the charge of a request by its cost and forgets the request.
   *
   * @param token the request
   * @param costMillis the slot time that it took, in milliseconds; 0 when it did not run
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
