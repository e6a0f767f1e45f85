package org.almondslip.scheduling;

/** Order in which waiting requests are assigned to slots. */
public enum Policy {
  /** Selects the flow with the lowest account balance. */
  FAIR {
    @Override
    long rank(long accountMicros, long headSinceMillis, long lastSelection) {
      return accountMicros;
    }
  },
  /** Selects the request that has waited longest, regardless of its flow; used as a baseline. */
  FIFO {
    @Override
    long rank(long accountMicros, long headSinceMillis, long lastSelection) {
      return headSinceMillis;
    }
  },
  /** Selects the flows in turn, regardless of request cost; used as a baseline. */
  ROUND_ROBIN {
    @Override
    long rank(long accountMicros, long headSinceMillis, long lastSelection) {
      return lastSelection;
    }
  };

  /**
   * Computes the rank of an offer; the offer with the lowest rank is selected.
   *
   * @param accountMicros the estimated account balance of the flow, in microseconds
   * @param headSinceMillis the time at which the request at the head of the queue began to wait, in
   *     milliseconds
   * @param lastSelection the sequence number of the last selection of the flow, 0 if there is none
   * @return the rank
   */
  abstract long rank(long accountMicros, long headSinceMillis, long lastSelection);
}
