package org.almondslip.review2;

import java.io.IOException;
import java.nio.file.Path;

/**
 * DRAIN: after a worker has reported that it is draining, another writer writes an entry under its
 * id in which fields are missing. Counts the requests that reach the worker after drain_ms.
 */
public final class OddEntry extends LeavingWorker {

  /** When the worker reports draining. */
  private static final long DRAINING_AT = 1_000;

  /** When the other writer writes: after drain_ms. */
  private static final long ODD_AT = DRAINING_AT + DRAIN_MILLIS + 100;

  /** When the worker exits: drain_ms after its report and a little longer. */
  private static final long EXIT_AT = DRAINING_AT + DRAIN_MILLIS + 1_000;

  private OddEntry(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new OddEntry(Path.of(args[0])));
  }

  @Override
  int play() throws Exception {
    long start = record.millis() + 500;
    threads.execute(() -> load(start + 7_000));
    write("ready", 6);
    sleepUntil(start + DRAINING_AT);
    drain(7);
    sleepUntil(start + DRAINING_AT + BEAT_MILLIS);
    write("draining", 8);
    sleepUntil(start + DRAINING_AT + 2 * BEAT_MILLIS);
    write("draining", 9);
    sleepUntil(start + ODD_AT);
    if (trouble) {
      // Without version, cold_remaining_ms, sequence and born.
      String entry =
          leaving
              .entry("ready", 0)
              .replace("\"version\":\"v1\",", "")
              .replaceAll(",\"cold_remaining_ms\".*}", "}");
      writeOther(entry);
    }
    sleepUntil(start + EXIT_AT);
    return exitAndJudge();
  }
}
