package org.almondslip.order;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.almondslip.time.Clock;

/**
 * Retries writes with exponential backoff until they are settled. Bounded by count and bytes; the
 * oldest writes are dropped first.
 */
final class RetryQueue {

  private final ClaimLimits limits;

  private final Clock clock;

  private final Runnable onSettled;

  private final Runnable onDropped;

  /** Unsettled writes, oldest first. */
  private final Deque<Entry> entries = new ArrayDeque<>();

  /** Total size of the unsettled writes. */
  private long pendingBytes;

  /** Write that may be attempted repeatedly. */
  interface Task {

    /**
     * Attempts the write and then calls exactly one of the callbacks, immediately or later.
     *
     * @param settled called when no further attempt is needed
     * @param retry called when the write must be retried
     */
    void attempt(Runnable settled, Runnable retry);

    /**
     * Returns the size that counts against the limit of pending bytes.
     *
     * @return the size in bytes
     */
    int bytes();
  }

  /** Write with the state of its retries. */
  private static final class Entry {

    private final Task task;

    /** Delay before the next retry. */
    private long delayMillis;

    /** Clock time at which the next attempt is due. */
    private long dueAtMillis;

    /** Whether an attempt has been started and has not reported its result. */
    private boolean inProgress;

    /**
     * Creates an entry that is due immediately.
     *
     * @param task the write
     * @param delayMillis the delay before the first retry, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    private Entry(Task task, long delayMillis, long nowMillis) {
      this.task = task;
      this.delayMillis = delayMillis;
      this.dueAtMillis = nowMillis;
    }
  }

  /**
   * Creates an empty queue.
   *
   * @param limits the limits of claims
   * @param clock the source of time
   * @param onSettled called when a write is settled
   * @param onDropped called when a write is dropped because of a limit
   */
  RetryQueue(ClaimLimits limits, Clock clock, Runnable onSettled, Runnable onDropped) {
    this.limits = limits;
    this.clock = clock;
    this.onSettled = onSettled;
    this.onDropped = onDropped;
  }

  /**
   * Adds a write and attempts it immediately. Drops the oldest writes while a limit is exceeded,
   * but never the added one.
   *
   * @param task the write
   */
  void add(Task task) {
    Entry entry = new Entry(task, limits.retryMillis(), clock.millis());
    entries.addLast(entry);
    pendingBytes += task.bytes();
    while (entries.size() > 1
        && (entries.size() > limits.pendingRecords() || pendingBytes > limits.pendingBytes())) {
      remove(entries.getFirst(), onDropped);
    }
    attempt(entry);
  }

  /** Attempts the writes that are due. */
  void onTick() {
    long nowMillis = clock.millis();
    for (Entry entry : List.copyOf(entries)) {
      if (!entry.inProgress && nowMillis >= entry.dueAtMillis) {
        attempt(entry);
      }
    }
  }

  /**
   * Returns the number of unsettled writes.
   *
   * @return the number of writes
   */
  int size() {
    return entries.size();
  }

  /**
   * Starts an attempt of a write.
   *
   * @param entry the write
   */
  private void attempt(Entry entry) {
    entry.inProgress = true;
    entry.task.attempt(() -> remove(entry, onSettled), () -> scheduleRetry(entry));
  }

  /**
   * Schedules the next attempt of a write and doubles its delay up to the maximum.
   *
   * @param entry the write
   */
  private void scheduleRetry(Entry entry) {
    entry.inProgress = false;
    entry.dueAtMillis = clock.millis() + entry.delayMillis;
    entry.delayMillis = Math.min(limits.maxRetryMillis(), entry.delayMillis * 2);
  }

  /**
   * Removes a write and notifies the listener if the write was still queued.
   *
   * @param entry the write
   * @param listener called when the write was still queued
   */
  private void remove(Entry entry, Runnable listener) {
    if (entries.remove(entry)) {
      pendingBytes -= entry.task.bytes();
      listener.run();
    }
  }
}
