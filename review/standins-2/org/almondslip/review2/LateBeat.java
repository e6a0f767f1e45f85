package org.almondslip.review2;

import java.io.IOException;
import java.nio.file.Path;

/**
 * DRAIN: a worker's beat gets no answer and is performed seconds later, after the same worker has
 * reported that it is draining. Counts the requests that reach the worker after drain_ms.
 */
public final class LateBeat extends LeavingWorker {

  /** When the store performs the beat that it has not answered: pages: 1 to 6 s later. */
  private static final long LATE_MILLIS = 5_900;

  /** When the worker reports draining; the store has been without disturbance for contact_ms. */
  private static final long DRAINING_AT = 3_300;

  /** When the worker exits: drain_ms after its report and a little longer. */
  private static final long EXIT_AT = 6_800;

  private LateBeat(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new LateBeat(Path.of(args[0])));
  }

  @Override
  int play() throws Exception {
    long start = record.millis() + 500;
    threads.execute(() -> load(start + 9_000));
    write("ready", 6);
    sleepUntil(start);
    if (trouble) {
      record.add("store: beat 7 of %s (ready) gets no answer", leaving.id());
    } else {
      write("ready", 7);
    }
    sleepUntil(start + BEAT_MILLIS);
    write("ready", 8);
    sleepUntil(start + 2 * BEAT_MILLIS);
    write("ready", 9);
    sleepUntil(start + DRAINING_AT);
    drain(10);
    sleepUntil(start + DRAINING_AT + BEAT_MILLIS);
    write("draining", 11);
    sleepUntil(start + DRAINING_AT + 2 * BEAT_MILLIS);
    write("draining", 12);
    sleepUntil(start + LATE_MILLIS);
    if (trouble) {
      record.add("store: performs beat 7 of %s (ready) now", leaving.id());
      write("ready", 7);
    }
    sleepUntil(start + EXIT_AT);
    return exitAndJudge();
  }
}
