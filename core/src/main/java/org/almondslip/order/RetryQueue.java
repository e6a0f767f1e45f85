package org.almondslip.order;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.almondslip.time.Clock;

/**
 * Writes that are retried with growing delays until they are settled. Bounded in count and bytes.
 */
final class RetryQueue {

  /** Limits of claims. */
  private final ClaimLimits limits;

  /** Source of time. */
  private final Clock clock;

  /** Called when a write is settled. */
  private final Runnable onSettled;

  /** Called when a write is given up. */
  private final Runnable onDropped;

  /** Writes that are not settled, the oldest first. */
  private final Deque<Entry> entries = new ArrayDeque<>();

  /** Bytes that the writes hold. */
  private long bytes;

  /** A write. */
  interface Task {

    /**
     * Tries the write. Calls exactly one of the arguments, at once or later.
     *
     * @param settled to be called when nothing is left to do
     * @param retry to be called when the write has to be tried again
     */
    void attempt(Runnable settled, Runnable retry);

    /**
     * Returns the size of what the write holds.
     *
     * @return the bytes
     */
    int bytes();
  }

  /** A write with the time of its next try. */
  private static final class Entry {

    /** The write. */
    private final Task task;

    /** Delay before the next retry, in milliseconds. */
    private long delay;

    /** When the next try is due, in milliseconds. */
    private long dueAt;

    /** Whether a try is under way. */
    private boolean trying;

    /**
     * Creates an entry that is due at once.
     *
     * @param task the write
     * @param delay the delay before the first retry, in milliseconds
     * @param now the current time, in milliseconds
     */
    private Entry(Task task, long delay, long now) {
      this.task = task;
      this.delay = delay;
      this.dueAt = now;
    }
  }

  /**
   * Creates an empty queue.
   *
   * @param limits the limits of claims
   * @param clock the source of time
   * @param onSettled called when a write is settled
   * @param onDropped called when a write is given up
   */
  RetryQueue(ClaimLimits limits, Clock clock, Runnable onSettled, Runnable onDropped) {
    this.limits = limits;
    this.clock = clock;
    this.onSettled = onSettled;
    this.onDropped = onDropped;
  }

  /**
   * Adds a write and tries it. The oldest writes are given up while a limit is exceeded.
   *
   * @param task the write
   */
  void add(Task task) {
    Entry entry = new Entry(task, limits.retryMillis(), clock.millis());
    entries.addLast(entry);
    bytes += task.bytes();
    while (entries.size() > 1
        && (entries.size() > limits.pendingRecords() || bytes > limits.pendingBytes())) {
      remove(entries.getFirst(), onDropped);
    }
    attempt(entry);
  }

  /** Tries the writes that are due. */
  void onTick() {
    long now = clock.millis();
    for (Entry entry : List.copyOf(entries)) {
      if (!entry.trying && now >= entry.dueAt) {
        attempt(entry);
      }
    }
  }

  /**
   * Returns the number of writes that are not settled.
   *
   * @return the number
   */
  int size() {
    return entries.size();
  }

  /**
   * Tries a write.
   *
   * @param entry the write
   */
  private void attempt(Entry entry) {
    entry.trying = true;
    entry.task.attempt(() -> remove(entry, onSettled), () -> delay(entry));
  }

  /**
   * Plans the next try of a write.
   *
   * @param entry the write
   */
  private void delay(Entry entry) {
    entry.trying = false;
    entry.dueAt = clock.millis() + entry.delay;
    entry.delay = Math.min(limits.maxRetryMillis(), entry.delay * 2);
  }

  /**
   * Removes a write.
   *
   * @param entry the write
   * @param listener called when the write was still there
   */
  private void remove(Entry entry, Runnable listener) {
    if (entries.remove(entry)) {
      bytes -= entry.task.bytes();
      listener.run();
    }
  }
}
