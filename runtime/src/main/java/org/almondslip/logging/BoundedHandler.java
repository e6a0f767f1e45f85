package org.almondslip.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jctools.queues.MpscArrayQueue;

/**
 * Log handler that writes records on its own thread, so that a blocked output does not block the
 * threads that log. Records that do not fit into the queue are dropped and counted.
 */
final class BoundedHandler extends Handler {

  /** Capacity of the queue in records, which holds a few seconds of the log of a busy process. */
  static final int CAPACITY = 4_096;

  /** Pause of the writer between batches, which limits its wake-ups: 50 ms. */
  private static final long WRITE_INTERVAL_NANOS = 50_000_000L;

  /** Maximum time that {@link #close} waits for the writer. */
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  private final Queue<LogRecord> queue = new MpscArrayQueue<>(CAPACITY);

  /** Number of records that were dropped since the last record about it. */
  private final AtomicLong dropped = new AtomicLong();

  private final OutputStream out;

  private final Thread writer;

  /** Whether the writer ends once the queue is empty. */
  private volatile boolean closed;

  /**
   * Creates a handler and starts its writer.
   *
   * @param out the stream to write to
   * @param formatter the formatter of records
   */
  BoundedHandler(OutputStream out, Formatter formatter) {
    this.out = out;
    setFormatter(formatter);
    setLevel(Level.ALL);
    this.writer = new Thread(this::run, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (closed || !queue.offer(record)) {
      dropped.incrementAndGet();
    }
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(writer);
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits without a timeout until a closed handler has written all records, unlike {@link #close}.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  void awaitWriter() throws InterruptedException {
    writer.join();
  }

  /** Writes records until the handler is closed and the queue is empty. */
  private void run() {
    while (true) {
      boolean last = closed;
      try {
        writeBatch();
      } catch (IOException e) {
        // The log cannot be written, and there is no other place to report that.
        dropped.incrementAndGet();
      }
      if (last) {
        return;
      }
      LockSupport.parkNanos(this, WRITE_INTERVAL_NANOS);
    }
  }

  /**
   * Writes all queued records and flushes the stream.
   *
   * @throws IOException if the records cannot be written
   */
  private void writeBatch() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (LogRecord next = queue.poll(); next != null; next = queue.poll()) {
      lines.append(getFormatter().format(next));
    }
    long droppedNow = dropped.getAndSet(0);
    if (droppedNow > 0) {
      LogRecord record = new LogRecord(Level.WARNING, droppedNow + " log records were dropped");
      record.setLoggerName(BoundedHandler.class.getName());
      lines.append(getFormatter().format(record));
    }
    if (!lines.isEmpty()) {
      out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }
}
