package org.almondslip.duty;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.locks.LockSupport;
import org.almondslip.time.Clock;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread that handles events from a bounded queue.
 *
 * <p>Any thread may add events. The last quarter of the queue is reserved for {@link #put}, so that
 * responses to running requests are still accepted when new requests are refused.
 *
 * @param <E> the type of the events
 */
public final class EventThread<E> implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Interval at which {@link #put} polls a full queue. */
  private static final long FULL_QUEUE_POLL_NANOS = 50_000L;

  /** Maximum number of events that are handled before the clock is read again. */
  private static final int BATCH_SIZE = 256;

  /** Maximum time that {@link #close} waits for the thread to end. */
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private final MpscArrayQueue<E> queue;

  /** Queue size at which {@link #offer} starts to refuse events. */
  private final int offerLimit;

  private final long tickMillis;

  private final Clock clock;

  private final Handler<E> handler;

  private final Thread thread;

  private volatile boolean running = true;

  /** Whether the thread is about to park or parked, so that producers must unpark it. */
  private volatile boolean parked;

  /**
   * Handles events and ticks. All methods are called on the thread of the {@link EventThread}.
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

    /** Runs periodic tasks; called once in each tick interval. */
    void onTick();
  }

  /**
   * Creates a thread that is not started yet.
   *
   * @param name the name of the thread
   * @param capacity the capacity of the queue in events, rounded up to a power of two
   * @param tickMillis the interval between ticks, in milliseconds
   * @param clock the clock that determines when a tick is due
   * @param handler the handler of events and ticks
   */
  public EventThread(String name, int capacity, long tickMillis, Clock clock, Handler<E> handler) {
    this.queue = new MpscArrayQueue<>(capacity);
    this.offerLimit = queue.capacity() - queue.capacity() / 4;
    this.tickMillis = tickMillis;
    this.clock = clock;
    this.handler = handler;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts to handle events. */
  public void start() {
    thread.start();
  }

  /**
   * Adds an event unless three quarters of the queue are in use.
   *
   * @param event the event
   * @return false if the event was refused
   */
  public boolean offer(E event) {
    boolean added = queue.size() < offerLimit && queue.offer(event);
    if (added) {
      wake();
    }
    return added;
  }

  /**
   * Adds an event, and blocks while the queue is full. The event is discarded if the queue is full
   * and this thread is closed or is the caller itself, since nothing would make room for it.
   *
   * @param event the event
   */
  public void put(E event) {
    while (!queue.offer(event)) {
      if (!running || Thread.currentThread() == thread) {
        return;
      }
      LockSupport.parkNanos(FULL_QUEUE_POLL_NANOS);
    }
    wake();
  }

  /**
   * Returns the number of queued events.
   *
   * @return the number, which is exact only while no event is added or handled
   */
  public int size() {
    return queue.size();
  }

  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (thread.isAlive() && Thread.currentThread() != thread) {
      try {
        thread.join(CLOSE_TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void wake() {
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  /** Handles events and ticks until {@link #close} is called. */
  private void run() {
    long nextTick = clock.millis() + tickMillis;
    while (running) {
      int handled = queue.drain(this::handle, BATCH_SIZE);
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
   * Parks the thread until an event is added or the next tick is due.
   *
   * @param millis the time until the next tick, in milliseconds
   */
  private void park(long millis) {
    parked = true;
    if (queue.isEmpty() && running) {
      LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    }
    parked = false;
  }

  /**
   * Handles an event. An exception of the handler is logged and does not end the thread.
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

  /** Calls the tick handler. An exception is logged and does not end the thread. */
  private void tick() {
    try {
      handler.onTick();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("tick failed on thread %s", thread.getName());
    }
  }
}
