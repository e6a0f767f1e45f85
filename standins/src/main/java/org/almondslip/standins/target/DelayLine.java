package org.almondslip.standins.target;

import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs actions after a delay, in the order of their due times. Timers of the event loop have a
 * resolution of one millisecond, which is too coarse for delays of 0.4 ms.
 */
final class DelayLine implements AutoCloseable {

  /** Actions that wait. */
  private final DelayQueue<Entry> queue = new DelayQueue<>();

  /** Source of the numbers that keep actions with the same due time in order. */
  private final AtomicLong numbers = new AtomicLong();

  /** Thread that runs the actions. */
  private final Thread thread;

  /**
   * An action that waits.
   *
   * @param due when to run it, by {@link System#nanoTime}
   * @param number the order among equal due times
   * @param action the action
   */
  private record Entry(long due, long number, Runnable action) implements Delayed {

    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(due - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
      Entry entry = (Entry) other;
      int byDue = Long.signum(due - entry.due);
      return byDue != 0 ? byDue : Long.compare(number, entry.number);
    }
  }

  /**
   * Starts the thread.
   *
   * @param name the name of the thread
   */
  DelayLine(String name) {
    thread = new Thread(this::runActions, name);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Runs an action after a delay.
   *
   * @param delayNanos the delay in nanoseconds
   * @param action the action, which must not block
   */
  void add(long delayNanos, Runnable action) {
    queue.add(new Entry(System.nanoTime() + delayNanos, numbers.incrementAndGet(), action));
  }

  @Override
  public void close() {
    thread.interrupt();
  }

  /** Runs actions until the thread is interrupted. */
  private void runActions() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        queue.take().action().run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
