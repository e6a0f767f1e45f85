package org.almondslip.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions at their times on a manual clock, in one thread and in a repeatable order. */
public final class Simulation {

  /** Clock of the simulation. */
  private final Clock.Manual clock = new Clock.Manual(1_000_000);

  /** Actions to run, the earliest first. */
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(Comparator.comparing(Action::time).thenComparing(Action::number));

  /** Number of the next action. */
  private long next;

  /**
   * An action.
   *
   * @param time when it runs
   * @param number orders actions of the same time
   * @param work what it does
   */
  private record Action(long time, long number, Runnable work) {}

  /**
   * Returns the clock of the simulation.
   *
   * @return the clock
   */
  public Clock clock() {
    return clock;
  }

  /**
   * Plans an action.
   *
   * @param delay the time until it runs, in milliseconds
   * @param work what it does
   */
  public void after(long delay, Runnable work) {
    actions.add(new Action(clock.millis() + delay, next++, work));
  }

  /**
   * Plans an action that repeats itself.
   *
   * @param interval the interval in milliseconds
   * @param work what it does
   */
  public void every(long interval, Runnable work) {
    after(
        interval,
        () -> {
          work.run();
          every(interval, work);
        });
  }

  /**
   * Runs what is due within some time.
   *
   * @param millis the time in milliseconds
   */
  public void run(long millis) {
    long end = clock.millis() + millis;
    while (!actions.isEmpty() && actions.peek().time() <= end) {
      Action action = actions.poll();
      clock.advance(Math.max(0, action.time() - clock.millis()));
      action.work().run();
    }
    clock.advance(end - clock.millis());
  }
}
