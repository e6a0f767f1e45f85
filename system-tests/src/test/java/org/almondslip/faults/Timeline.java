package org.almondslip.faults;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.almondslip.time.Clock;

/** Actions in the order of their time, on a manual clock. */
final class Timeline {

  private final Clock.Manual clock = new Clock.Manual(1_000_000);
  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(Comparator.comparingLong(Entry::time).thenComparingLong(Entry::order));
  private long nextOrder;

  private record Entry(long time, long order, Runnable action) {}

  Clock clock() {
    return clock;
  }

  long now() {
    return clock.millis();
  }

  void at(long time, Runnable action) {
    entries.add(new Entry(Math.max(time, now()), nextOrder++, action));
  }

  void after(long millis, Runnable action) {
    at(now() + millis, action);
  }

  void every(long millis, Runnable action) {
    after(
        millis,
        () -> {
          action.run();
          every(millis, action);
        });
  }

  void runUntil(long time) {
    while (!entries.isEmpty() && entries.peek().time() <= time) {
      Entry entry = entries.poll();
      clock.advance(entry.time() - now());
      entry.action().run();
    }
    clock.advance(time - now());
  }
}
