package org.almondslip.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Pending prefill of other routers at one target in the last seconds.
 *
 * <p>What other routers had sent when a request was sent becomes known only when their next reports
 * arrive. A measured time can be compared with it later.
 */
final class PendingHistory {

  /** Time for which values are kept, in milliseconds; longer waits are compared with the oldest. */
  private static final long KEPT_MILLIS = 2_000;

  /** Resolution in milliseconds, which limits the memory. */
  private static final long RESOLUTION_MILLIS = 20;

  private final Deque<Value> values = new ArrayDeque<>();

  /** Pending tokens from a time on. */
  private record Value(long tokens, long from) {}

  /**
   * Records a change.
   *
   * @param tokens the pending tokens
   * @param now the current time in milliseconds
   */
  void add(long tokens, long now) {
    if (!values.isEmpty() && now - values.peekLast().from() < RESOLUTION_MILLIS) {
      long from = values.removeLast().from();
      values.addLast(new Value(tokens, from));
    } else {
      values.addLast(new Value(tokens, now));
    }
    while (values.size() > 1 && now - values.peekFirst().from() > KEPT_MILLIS) {
      values.removeFirst();
    }
  }

  /**
   * Returns the pending tokens at a time.
   *
   * @param time the time in milliseconds
   * @return the number of tokens, 0 if nothing was recorded before
   */
  long tokensAt(long time) {
    long tokens = 0;
    for (Value value : values) {
      if (value.from() > time) {
        break;
      }
      tokens = value.tokens();
    }
    return tokens;
  }
}
