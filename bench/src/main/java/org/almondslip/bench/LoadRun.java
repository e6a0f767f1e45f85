package org.almondslip.bench;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.Node;
import org.almondslip.bench.deployment.Pool;
import org.almondslip.bench.load.Entry;
import org.almondslip.bench.load.LoadGenerator;
import org.almondslip.bench.load.LoadPlan;
import org.almondslip.bench.load.Phase;
import org.almondslip.bench.load.PlannedRequest;
import org.almondslip.bench.load.Tally;
import org.almondslip.bench.measure.Fetcher;
import org.almondslip.bench.measure.FleetSnapshot;
import org.almondslip.bench.measure.PoolSampler;

/** Sends one phase of load and measures the fleet meanwhile. */
final class LoadRun {

  /** Longest wait for answers after the last request, in milliseconds. */
  private static final long DRAIN_MILLIS = 70_000;

  /**
   * Time at the start of a phase that does not count for fairness, in milliseconds. By then the
   * burst has reached the queues.
   */
  private static final long SETTLE_MILLIS = 1_000;

  /** Where and how to measure. */
  private final Setup setup;

  /** Event loop of the load generator. */
  private final Context context;

  /** Event loop of the samplers. */
  private final Context samplerContext;

  /** Counts and latencies. */
  private final Tally tally = new Tally();

  /** Samplers by pool. */
  private final Map<Pool, PoolSampler> samplers = new LinkedHashMap<>();

  /** Start of the load, by {@link System#nanoTime} in milliseconds. */
  private long startMillis;

  /**
   * Where and how to measure.
   *
   * @param vertx the event loops of the load generator
   * @param samplerVertx the event loops of the samplers; contexts that one thread asks of one
   *     instance of Vert.x share their event loop
   * @param deployment the deployment
   * @param fetcher the reader of pages
   * @param operations operations addresses of routers and agents
   * @param directory the directory with the process ids
   */
  record Setup(
      Vertx vertx,
      Vertx samplerVertx,
      Deployment deployment,
      Fetcher fetcher,
      Map<String, String> operations,
      java.nio.file.Path directory) {

    /**
     * Takes a snapshot of all processes and waits for it.
     *
     * @return the snapshot
     */
    FleetSnapshot snapshot() {
      return await(FleetSnapshot.take(fetcher, operations, directory));
    }
  }

  /**
   * What a phase yielded.
   *
   * @param phase the phase
   * @param tally counts and latencies
   * @param samplers samplers by pool
   * @param startMillis the start, by {@link System#nanoTime} in milliseconds
   * @param before the snapshot before the phase
   * @param after the snapshot after the phase
   */
  record Result(
      Phase phase,
      Tally tally,
      Map<Pool, PoolSampler> samplers,
      long startMillis,
      FleetSnapshot before,
      FleetSnapshot after) {

    /**
     * Returns the start of the window in which fairness is measured.
     *
     * @return the time by {@link System#nanoTime} in milliseconds
     */
    long windowStart() {
      return startMillis + Math.min(SETTLE_MILLIS, phase.millis() / 4);
    }

    /**
     * Returns the end of the window in which fairness is measured.
     *
     * @return the time by {@link System#nanoTime} in milliseconds
     */
    long windowEnd() {
      return startMillis + phase.millis();
    }
  }

  /**
   * Prepares a run.
   *
   * @param setup where and how to measure
   */
  LoadRun(Setup setup) {
    this.setup = setup;
    this.context = setup.vertx().getOrCreateContext();
    this.samplerContext = setup.samplerVertx().getOrCreateContext();
    for (Pool pool : setup.deployment().pools()) {
      samplers.put(
          pool,
          new PoolSampler(
              setup.samplerVertx(),
              setup.fetcher(),
              pool,
              targets(pool),
              () -> tally.outstanding(pool.name())));
    }
  }

  /**
   * Sends a phase and waits for its end.
   *
   * @param plan draws the requests
   * @param phase the phase
   * @param entry where requests are sent
   * @return what the phase yielded
   */
  Result run(LoadPlan plan, Phase phase, Entry entry) {
    List<PlannedRequest> requests = plan.draw(phase);
    final FleetSnapshot before = setup.snapshot();
    Promise<Void> done = Promise.promise();
    LoadGenerator generator = new LoadGenerator(setup.vertx(), context, entry, tally);
    startMillis = System.nanoTime() / 1_000_000;
    samplerContext.runOnContext(
        ignored -> {
          samplers.values().forEach(PoolSampler::start);
          setup.samplerVertx().setTimer(phase.millis(), timer -> stopSamplers());
        });
    generator.run(requests, DRAIN_MILLIS).onComplete(done);
    await(done.future());
    return new Result(phase, tally, samplers, startMillis, before, setup.snapshot());
  }

  /** Stops all samplers. */
  private void stopSamplers() {
    samplers.values().forEach(PoolSampler::stop);
  }

  /**
   * Returns the targets of a pool.
   *
   * @param pool the pool
   * @return their addresses
   */
  private List<String> targets(Pool pool) {
    List<String> addresses = new ArrayList<>();
    for (Node agent : setup.deployment().agents()) {
      if (agent.pool().filter(pool::equals).isPresent()) {
        addresses.add(agent.address(Node.Port.TARGET));
      }
    }
    return addresses;
  }

  /**
   * Waits for a result.
   *
   * @param future the future
   * @param <T> the type of the result
   * @return the result
   */
  static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }
}
