package org.almondslip.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Memory and processor time of a process, from /proc.
 *
 * @param residentKib resident memory in KiB
 * @param processorMillis processor time since the start, in milliseconds
 */
public record ProcessUsage(long residentKib, long processorMillis) {

  /** Processor time in one unit of /proc, in milliseconds (100 units a second on Linux). */
  private static final long MILLIS_PER_TICK = 10;

  /** Position of the user time after the command name, which ends with a parenthesis. */
  private static final int USER_TIME_FIELD = 11;

  /**
   * Reads the usage of a process.
   *
   * @param proc the root of the proc file system
   * @param pid the process
   * @return the usage, or empty when the process does not run
   */
  public static Optional<ProcessUsage> of(Path proc, long pid) {
    try {
      Path directory = proc.resolve(Long.toString(pid));
      String stat = Files.readString(directory.resolve("stat"));
      long resident =
          Files.readAllLines(directory.resolve("status")).stream()
              .filter(line -> line.startsWith("VmRSS:"))
              .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
              .findFirst()
              .orElse(0);
      return Optional.of(new ProcessUsage(resident, processorMillis(stat)));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Reads the processor time.
   *
   * @param stat the content of the stat file
   * @return user and system time in milliseconds
   */
  private static long processorMillis(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long user = Long.parseLong(fields[USER_TIME_FIELD]);
    long system = Long.parseLong(fields[USER_TIME_FIELD + 1]);
    return (user + system) * MILLIS_PER_TICK;
  }
}
