package org.almondslip.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Order of the parts of one answer, and what of it may be acknowledged.
 *
 * <p>A part is acknowledged when the caller has consumed everything passed on so far, so an agent
 * that keeps to its window never has more than the window waiting for a slow caller.
 */
final class AnswerWindow {

  /**
   * Consumed bytes that cause an acknowledgement. One small frame for each 16 KiB costs a quarter
   * of a percent of the data, and agents keep little for callers that read well.
   */
  static final long ACK_BYTES = 16 << 10;

  /** Parts that have been received but not acknowledged. */
  private final Deque<Part> parts = new ArrayDeque<>();

  /** Sequence number of the next part. */
  private long next;

  /** Consumed bytes at the last acknowledgement. */
  private long acknowledgedBytes;

  /** Time of the last request to send missing parts again, in milliseconds. */
  private long gapReportedAt = Long.MIN_VALUE / 2;

  /** Order of a part relative to the ones received before. */
  enum Order {
    /** The next part. */
    NEXT,
    /** Received before. */
    DUPLICATE,
    /** Parts before it are missing. */
    GAP
  }

  /**
   * Part that has been received.
   *
   * @param sequence its sequence number
   * @param forwardedBytes the body bytes passed to the caller's side up to its end
   */
  private record Part(long sequence, long forwardedBytes) {}

  /**
   * Returns the order of a part.
   *
   * @param sequence its sequence number
   * @return the order
   */
  Order orderOf(long sequence) {
    if (sequence == next) {
      return Order.NEXT;
    }
    return sequence < next ? Order.DUPLICATE : Order.GAP;
  }

  /**
   * Takes the next part.
   *
   * @param forwardedBytes the body bytes passed to the caller's side up to its end
   */
  void accept(long forwardedBytes) {
    parts.add(new Part(next, forwardedBytes));
    next++;
  }

  /**
   * Returns the sequence number of the next part.
   *
   * @return the number
   */
  long next() {
    return next;
  }

  /**
   * Returns the acknowledgement that is due after the caller has consumed bytes.
   *
   * @param consumedBytes the body bytes that the caller has consumed
   * @return the sequence number below which all is acknowledged, 0 when nothing is due
   */
  long acknowledge(long consumedBytes) {
    if (consumedBytes - acknowledgedBytes < ACK_BYTES) {
      return 0;
    }
    acknowledgedBytes = consumedBytes;
    long acknowledged = 0;
    while (!parts.isEmpty() && parts.peek().forwardedBytes() <= consumedBytes) {
      acknowledged = parts.poll().sequence() + 1;
    }
    return acknowledged;
  }

  /**
   * Returns whether missing parts should be requested now.
   *
   * @param now the current time, in milliseconds
   * @param intervalMillis the shortest time between two requests
   * @return true when a request is due
   */
  boolean tryReportGap(long now, long intervalMillis) {
    if (now - gapReportedAt < intervalMillis) {
      return false;
    }
    gapReportedAt = now;
    return true;
  }
}
