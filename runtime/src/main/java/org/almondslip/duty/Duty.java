package org.almondslip.duty;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.locks.LockSupport;
import org.almondslip.time.Clock;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread with one duty, fed by a bounded ring.
 *
 * <p>Any thread may add events. The last quarter of the ring is reserved for {@link #put}, so that
 * answers to running work still pass when new work is refused.
 *
 * @param <E> the type of the events
 */
public final class Duty<E> implements AutoCloseable {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Nanoseconds that a full ring makes {@link #put} wait before it looks again. */
  private static final long FULL_RING_PARK_NANOS = 50_000L;

  /** Events handled between two looks at the clock. */
  private static final int BATCH = 256;

  /** Milliseconds that {@link #close} waits for the thread to end. */
  private static final long CLOSE_MILLIS = 5_000;

  /** Events that wait for the thread. */
  private final MpscArrayQueue<E> ring;

  /** Fill level above which new work is refused. */
  private final int offerLimit;

  /** Interval between ticks, in milliseconds. */
  private final long tickMillis;

  /** Source of time. */
  private final Clock clock;

  /** Work of the duty. */
  private final Handler<E> handler;

  /** Thread of the duty. */
  private final Thread thread;

  /** False once the duty has been closed. */
  private volatile boolean running = true;

  /** True while the thread waits for events. */
  private volatile boolean parked;

  /**
   * Work of a duty. All methods are called on its thread.
   *
   * @param <E> the type of the events
   */
  public interface Handler<E> {

    /**
     * Handles one event.
     *
     * @param event the event
     */
    void onEvent(E event);

    /** Does what is due; called once in each tick interval. */
    void onTick();
  }

  /**
   * Creates a duty that has not started yet.
   *
   * @param name the name of the thread
   * @param capacity the size of the ring, in events
   * @param tickMillis the interval between ticks, in milliseconds
   * @param clock the source of time
   * @param handler the work of the duty
   */
  public Duty(String name, int capacity, long tickMillis, Clock clock, Handler<E> handler) {
    this.ring = new MpscArrayQueue<>(capacity);
    this.offerLimit = ring.capacity() - ring.capacity() / 4;
    this.tickMillis = tickMillis;
    this.clock = clock;
    this.handler = handler;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /**
   * Adds an event that may be refused.
   *
   * @param event the event
   * @return false when the ring is too full for new work
   */
  public boolean offer(E event) {
    boolean added = ring.size() < offerLimit && ring.offer(event);
    if (added) {
      wake();
    }
    return added;
  }

  /**
   * Adds an event that must not be refused; waits while the ring is full.
   *
   * @param event the event
   */
  public void put(E event) {
    while (!ring.offer(event)) {
      if (!running || Thread.currentThread() == thread) {
        return;
      }
      LockSupport.parkNanos(FULL_RING_PARK_NANOS);
    }
    wake();
  }

  /**
   * Returns the number of waiting events.
   *
   * @return the number, exact only while nothing is added
   */
  public int size() {
    return ring.size();
  }

  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (thread.isAlive() && Thread.currentThread() != thread) {
      try {
        thread.join(CLOSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Wakes the thread if it waits. */
  private void wake() {
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  /** Handles events and ticks until the duty is closed. */
  private void run() {
    long nextTick = clock.millis() + tickMillis;
    while (running) {
      int handled = ring.drain(this::handle, BATCH);
      long now = clock.millis();
      if (now >= nextTick) {
        tick();
        nextTick = Math.max(nextTick + tickMillis, now + 1);
      } else if (handled == 0) {
        park(nextTick - now);
      }
    }
  }

  /**
   * Waits for an event or the next tick.
   *
   * @param millis the time until the next tick
   */
  private void park(long millis) {
    parked = true;
    if (ring.isEmpty() && running) {
      LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    }
    parked = false;
  }

  /**
   * Handles an event. A failure is logged and does not end the thread.
   *
   * @param event the event
   */
  private void handle(E event) {
    try {
      handler.onEvent(event);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "handling of an event failed on thread %s", thread.getName());
    }
  }

  /** Runs a tick. A failure is logged and does not end the thread. */
  private void tick() {
    try {
      handler.onTick();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("tick failed on thread %s", thread.getName());
    }
  }
}
