package org.almondslip.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.almondslip.bench.deployment.Pool;

/** Samples the usage of one pool's targets and the requests that wait for the pool. */
public final class PoolSampler {

  /** Time between two samples, in milliseconds. */
  private static final long INTERVAL_MILLIS = 200;

  /**
   * Requests of an organisation that must be waiting for it to count as backlogged. One alone may
   * be an answer that has left the target and is on its way to the caller.
   */
  private static final int MIN_WAITING = 2;

  /** Timers. */
  private final Vertx vertx;

  /** Reader of the targets' usage. */
  private final Fetcher fetcher;

  /** Pool. */
  private final Pool pool;

  /** Addresses of the targets. */
  private final List<String> targets;

  /** Requests without their end, by organisation. */
  private final Supplier<Map<String, Integer>> outstanding;

  /** Samples taken so far. */
  private final List<FairnessGap.Sample> samples = new ArrayList<>();

  /** Slots that were busy by target, summed over the samples. */
  private final double[] busyByTarget;

  /** Slots that were busy, summed over the samples. */
  private double busy;

  /** Slots that were idle while a request was waiting, summed over the samples. */
  private double idleWhileWaiting;

  /** Timer, -1 before the start. */
  private long timer = -1;

  /**
   * Creates a sampler.
   *
   * @param vertx the timers
   * @param fetcher the reader of the targets' usage
   * @param pool the pool
   * @param targets the addresses of the targets
   * @param outstanding the requests without their end, by organisation
   */
  public PoolSampler(
      Vertx vertx,
      Fetcher fetcher,
      Pool pool,
      List<String> targets,
      Supplier<Map<String, Integer>> outstanding) {
    this.vertx = vertx;
    this.fetcher = fetcher;
    this.pool = pool;
    this.targets = List.copyOf(targets);
    this.busyByTarget = new double[targets.size()];
    this.outstanding = outstanding;
  }

  /**
   * Starts to sample. Must be called on an event loop that is not the one of the load generator, as
   * a burst would delay the samples there.
   */
  public void start() {
    timer = vertx.setPeriodic(INTERVAL_MILLIS, tick -> sample());
  }

  /** Stops sampling. */
  public void stop() {
    vertx.cancelTimer(timer);
  }

  /**
   * Returns the samples of a window.
   *
   * @param fromMillis the start of the window, by {@link System#nanoTime} in milliseconds
   * @param toMillis the end of the window
   * @return the samples in the order of their times
   */
  public List<FairnessGap.Sample> window(long fromMillis, long toMillis) {
    return samples.stream()
        .filter(sample -> sample.timeMillis() >= fromMillis && sample.timeMillis() < toMillis)
        .toList();
  }

  /**
   * Returns the slots that were busy, summed over the samples.
   *
   * @return the sum
   */
  public double busy() {
    return busy;
  }

  /**
   * Returns the slots that were idle while a request was waiting, summed over the samples.
   *
   * @return the sum
   */
  public double idleWhileWaiting() {
    return idleWhileWaiting;
  }

  /**
   * Returns the mean number of busy slots of each target.
   *
   * @return the numbers in the order of the targets
   */
  public double[] busyByTarget() {
    return Arrays.stream(busyByTarget).map(sum -> sum / Math.max(1, samples.size())).toArray();
  }

  /** Takes a sample when all targets answer. */
  private void sample() {
    List<Future<JsonNode>> pages =
        targets.stream().map(target -> fetcher.json(target, "/usage")).toList();
    Future.all(pages).onSuccess(all -> onPages(pages.stream().map(Future::result).toList()));
  }

  /**
   * Adds a sample.
   *
   * @param pages the usage of all targets
   */
  private void onPages(List<JsonNode> pages) {
    Map<String, Long> slotMillis = new HashMap<>();
    Map<String, Long> running = new HashMap<>();
    int busyNow = 0;
    for (int i = 0; i < pages.size(); i++) {
      JsonNode page = pages.get(i);
      addFields(page.path("slotMillis"), slotMillis);
      addFields(page.path("runningBy"), running);
      int busyHere = Math.min(pool.slotsPerTarget(), page.path("running").asInt());
      busyByTarget[i] += busyHere;
      busyNow += busyHere;
    }
    Set<String> backlogged = new HashSet<>();
    long waiting = 0;
    for (Map.Entry<String, Integer> entry : outstanding.get().entrySet()) {
      long without = entry.getValue() - running.getOrDefault(entry.getKey(), 0L);
      waiting += Math.max(0, without);
      if (without >= MIN_WAITING) {
        backlogged.add(entry.getKey());
      }
    }
    busy += busyNow;
    idleWhileWaiting += Math.min(waiting, pool.slots() - busyNow);
    samples.add(new FairnessGap.Sample(System.nanoTime() / 1_000_000, slotMillis, backlogged));
  }

  /**
   * Adds the numbers of an object.
   *
   * @param fields the object
   * @param sums receives the sums
   */
  private static void addFields(JsonNode fields, Map<String, Long> sums) {
    fields.fields().forEachRemaining(f -> sums.merge(f.getKey(), f.getValue().asLong(), Long::sum));
  }
}
