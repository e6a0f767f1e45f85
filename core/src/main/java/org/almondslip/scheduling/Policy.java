package org.almondslip.scheduling;

/** Order in which waiting requests get slots. */
public enum Policy {
  /** The flow with the smallest account first. */
  FAIR {
    @Override
    long rank(long accountMicros, long headSince, long lastTurn) {
      return accountMicros;
    }
  },
  /** The request that has waited longest first, whatever its flow; used as a baseline. */
  FIFO {
    @Override
    long rank(long accountMicros, long headSince, long lastTurn) {
      return headSince;
    }
  },
  /** The flows in turn, whatever their requests cost; used as a baseline. */
  ROUND_ROBIN {
    @Override
    long rank(long accountMicros, long headSince, long lastTurn) {
      return lastTurn;
    }
  };

  /**
   * Ranks an offer.
   *
   * @param accountMicros the estimated account of the flow, in microseconds
   * @param headSince the time since which the head of the queue waits, in milliseconds
   * @param lastTurn the number of the last choice that fell on the flow
   * @return the rank; the offer with the smallest one is chosen
   */
  abstract long rank(long accountMicros, long headSince, long lastTurn);
}
