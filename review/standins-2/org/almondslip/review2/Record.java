package org.almondslip.review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run, with the time since its start. */
public final class Record implements AutoCloseable {

  private final PrintWriter out;

  private final long startedAt = System.nanoTime();

  /** Opens the record of a case. */
  public Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start. */
  public long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  /** Adds a line. */
  public synchronized void add(String format, Object... values) {
    out.printf(Locale.ROOT, "%8.3f s  ", millis() / 1000.0);
    out.printf(Locale.ROOT, format + "%n", values);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
