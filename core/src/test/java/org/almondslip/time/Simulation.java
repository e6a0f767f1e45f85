package org.almondslip.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete-event simulation on a manual clock, which runs actions in one thread and in a
 * deterministic order.
 */
public final class Simulation {

  private final Clock.Manual clock = new Clock.Manual(1_000_000);

  /** Scheduled actions, the earliest first. */
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(Comparator.comparing(Action::time).thenComparing(Action::sequence));

  /** Sequence number of the next action. */
  private long nextSequence;

  /**
   * Scheduled action.
   *
   * @param time the time at which it runs, in milliseconds
   * @param sequence the sequence number, which orders actions with the same time
   * @param task the task to run
   */
  private record Action(long time, long sequence, Runnable task) {}

  /**
   * Returns the clock of the simulation.
   *
   * @return the clock
   */
  public Clock clock() {
    return clock;
  }

  /**
   * Schedules a task.
   *
   * @param delay the delay until the task runs, in milliseconds
   * @param task the task
   */
  public void after(long delay, Runnable task) {
    actions.add(new Action(clock.millis() + delay, nextSequence++, task));
  }

  /**
   * Schedules a task that runs periodically.
   *
   * @param interval the interval between runs, in milliseconds; the first run follows after one
   *     interval
   * @param task the task
   */
  public void every(long interval, Runnable task) {
    after(
        interval,
        () -> {
          task.run();
          every(interval, task);
        });
  }

  /**
   * Advances the clock and runs all tasks that become due.
   *
   * @param millis the duration in milliseconds
   */
  public void run(long millis) {
    long end = clock.millis() + millis;
    while (!actions.isEmpty() && actions.peek().time() <= end) {
      Action action = actions.poll();
      clock.advance(Math.max(0, action.time() - clock.millis()));
      action.task().run();
    }
    clock.advance(end - clock.millis());
  }
}
