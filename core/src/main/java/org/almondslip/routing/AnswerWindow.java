package org.almondslip.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Receive window of an answer: the order of its parts and their acknowledgement.
 *
 * <p>A part is acknowledged once the caller has consumed it and all parts before it, so an agent
 * that respects its window never has more than the window outstanding for a slow caller.
 */
final class AnswerWindow {

  /**
   * Consumed bytes after which an acknowledgement is sent. One small frame per 16 KiB adds about
   * 0.25% to the data volume, and agents buffer little for callers that read quickly.
   */
  static final long ACK_BYTES = 16 << 10;

  /** Parts that have been received but not acknowledged. */
  private final Deque<Part> parts = new ArrayDeque<>();

  /** Sequence number of the next part. */
  private long next;

  /** Consumed bytes at the last acknowledgement. */
  private long acknowledgedBytes;

  /** Time of the last request for missing parts, in milliseconds. */
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
   * @param forwardedBytes the body bytes forwarded to the caller up to the end of the part
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
   * Records the next part as received.
   *
   * @param forwardedBytes the body bytes forwarded to the caller up to the end of the part
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
   * Returns whether a request for missing parts is due, and if so records it as sent.
   *
   * @param now the current time, in milliseconds
   * @param intervalMillis the minimum interval between two requests, in milliseconds
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
