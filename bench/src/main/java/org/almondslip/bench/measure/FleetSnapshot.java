package org.almondslip.bench.measure;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Counters of all processes of a fleet at one time.
 *
 * @param nanos the time, by {@link System#nanoTime}
 * @param metrics the metrics of routers and agents by instance
 * @param processes memory and processor time by instance
 */
public record FleetSnapshot(
    long nanos, Map<String, MetricsText> metrics, Map<String, ProcessUsage> processes) {

  /** Ending of the files that hold process ids. */
  private static final String PID_SUFFIX = ".pid";

  /**
   * Takes a snapshot.
   *
   * @param fetcher the reader of the metrics
   * @param operations operations addresses by instance
   * @param directory the directory with one file of the process id for each process
   * @return the snapshot
   */
  public static Future<FleetSnapshot> take(
      Fetcher fetcher, Map<String, String> operations, Path directory) {
    Map<String, Future<String>> pages = new LinkedHashMap<>();
    operations.forEach((instance, at) -> pages.put(instance, fetcher.text(at, "/metrics")));
    return Future.join(List.copyOf(pages.values()))
        .transform(
            joined -> {
              Map<String, MetricsText> metrics = new LinkedHashMap<>();
              pages.forEach(
                  (instance, page) ->
                      metrics.put(
                          instance, MetricsText.parse(page.succeeded() ? page.result() : "")));
              return Future.succeededFuture(
                  new FleetSnapshot(System.nanoTime(), metrics, processes(directory)));
            });
  }

  /**
   * Returns how much a metric grew since an earlier snapshot, summed over all processes.
   *
   * @param earlier the earlier snapshot
   * @param name the name of the metric
   * @return the growth
   */
  public double growth(FleetSnapshot earlier, String name) {
    double sum = 0;
    for (Map.Entry<String, MetricsText> entry : metrics.entrySet()) {
      MetricsText before = earlier.metrics.get(entry.getKey());
      sum += entry.getValue().get(name) - (before == null ? 0 : before.get(name));
    }
    return sum;
  }

  /**
   * Returns the seconds since an earlier snapshot.
   *
   * @param earlier the earlier snapshot
   * @return the seconds
   */
  public double secondsSince(FleetSnapshot earlier) {
    return (nanos - earlier.nanos) / 1e9;
  }

  /**
   * Returns the processor cores that processes used since an earlier snapshot.
   *
   * @param earlier the earlier snapshot
   * @param prefix the prefix of the instances to count
   * @return the mean number of cores of one process
   */
  public double coresPerProcess(FleetSnapshot earlier, String prefix) {
    double millis = 0;
    int count = 0;
    for (Map.Entry<String, ProcessUsage> entry : processes.entrySet()) {
      ProcessUsage before = earlier.processes.get(entry.getKey());
      if (entry.getKey().startsWith(prefix) && before != null) {
        millis += entry.getValue().processorMillis() - before.processorMillis();
        count++;
      }
    }
    return count == 0 ? 0 : millis / 1000 / secondsSince(earlier) / count;
  }

  /**
   * Returns the largest resident memory of a process.
   *
   * @param prefix the prefix of the instances to count
   * @return the memory in MB (1,000,000 bytes)
   */
  public double maxResidentMb(String prefix) {
    return processes.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToDouble(entry -> entry.getValue().residentKib() * 1024 / 1e6)
        .max()
        .orElse(0);
  }

  /**
   * Reads memory and processor time of all processes.
   *
   * @param directory the directory with the process ids
   * @return the usage by instance
   */
  private static Map<String, ProcessUsage> processes(Path directory) {
    Map<String, ProcessUsage> usage = new LinkedHashMap<>();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.sorted().toList()) {
        String name = file.getFileName().toString();
        if (name.endsWith(PID_SUFFIX)) {
          long pid = Long.parseLong(Files.readString(file).trim());
          String instance = name.substring(0, name.length() - PID_SUFFIX.length());
          ProcessUsage.of(Path.of("/proc"), pid).ifPresent(found -> usage.put(instance, found));
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return usage;
  }
}
