package org.almondslip.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.Network;
import org.almondslip.bench.deployment.Node;
import org.almondslip.bench.load.Entry;
import org.almondslip.bench.load.LoadPlan;
import org.almondslip.bench.load.Phase;
import org.almondslip.bench.load.Tally;
import org.almondslip.bench.measure.Fetcher;
import org.almondslip.bench.measure.RunCheck;

/** Experiments against the processes of a running deployment. */
final class Experiment {

  /** Load of the steady phase, as a part of the capacity. */
  private static final double STEADY_LOAD = 0.6;

  /** Load of the contended phase, as a part of the capacity, without the flood. */
  private static final double CONTENDED_LOAD = 1.3;

  /** Work in the burst at the start of the contended phase, as time at full capacity. */
  private static final long BURST_MILLIS = 2_000;

  /**
   * Time of the load before the measurement, in milliseconds. The first requests meet code that is
   * not compiled yet and connections that are not open.
   */
  private static final long WARM_UP_MILLIS = 4_000;

  /** Distance between the first numbers of two plans, above the requests of any phase. */
  private static final int PLAN_NUMBERS = 1_000_000;

  /** Where and how to measure. */
  private final LoadRun.Setup setup;

  /** Deployment. */
  private final Deployment deployment;

  /** Seed of the load. */
  private final long seed;

  /** Entry of the load under test. */
  private final Entry entry;

  /**
   * Prepares experiments.
   *
   * @param vertx the event loops
   * @param deployment the deployment, whose processes run
   * @param directory the directory with the process ids
   * @param seed the seed of the load
   * @param straight whether to send to the targets in place of the routers
   */
  Experiment(Vertx vertx, Deployment deployment, Path directory, long seed, boolean straight) {
    this.deployment = deployment;
    this.seed = seed;
    Map<String, String> operations = new LinkedHashMap<>();
    if (!straight) {
      deployment.routers().forEach(node -> operations.put(node.instance(), operationsOf(node)));
      deployment.agents().forEach(node -> operations.put(node.instance(), operationsOf(node)));
    }
    Vertx samplers = Vertx.vertx();
    Fetcher fetcher = new Fetcher(samplers.createHttpClient());
    this.setup = new LoadRun.Setup(vertx, samplers, deployment, fetcher, operations, directory);
    this.entry = straight ? direct("") : routers();
  }

  /**
   * Sends a short burst from all organisations.
   *
   * @param millis how long requests arrive
   * @return the report
   */
  ObjectNode demo(long millis) {
    warmUp(1);
    LoadRun.Result contended = contended(plan(0), millis);
    return new Report(deployment, seed)
        .withCounts(List.of(contended.tally()))
        .withRuns(runs(List.of(contended.tally())))
        .withFairness(contended)
        .withLatency("first_token_ms", contended.tally().firstToken())
        .withLatency("token_gap_ms", contended.tally().tokenGap())
        .withCosts(contended.before(), contended.after())
        .toJson();
  }

  /**
   * Measures latency under steady load, the same load straight at the engines, and fairness and
   * utilisation under contention.
   *
   * @param millis the time of all three phases together
   * @return the report
   */
  ObjectNode fleet(long millis) {
    Phase steadyPhase = Phase.steady(millis / 3, STEADY_LOAD);
    warmUp(2);
    LoadRun.Result steady = new LoadRun(setup).run(plan(0), steadyPhase, entry);
    // The same plan again, so that the engines see the same requests at the same times.
    Entry direct = direct(RunCheck.DIRECT_PREFIX);
    LoadRun.Result straight = new LoadRun(setup).run(plan(0), steadyPhase, direct);
    LoadRun.Result contended = contended(plan(1), millis / 3);
    List<Tally> tallies = List.of(steady.tally(), contended.tally());
    double seconds = millis / 3 / 1000.0;
    return new Report(deployment, seed)
        .withCounts(tallies)
        .withRuns(runs(tallies))
        .withFairness(contended)
        .withLatency("first_token_ms", steady.tally().firstToken())
        .withLatency("direct_first_token_ms", straight.tally().firstToken())
        .withLatency("token_gap_ms", steady.tally().tokenGap())
        .withLatency("direct_token_gap_ms", straight.tally().tokenGap())
        .with("requests_per_second", steady.tally().completed() / seconds)
        .with("direct_requests_per_second", straight.tally().completed() / seconds)
        .withCosts(steady.before(), contended.after())
        .toJson();
  }

  /**
   * Sends a load whose results are not used.
   *
   * @param index the number of its plan
   */
  void warmUp(int index) {
    new LoadRun(setup).run(plan(index), Phase.steady(WARM_UP_MILLIS, STEADY_LOAD), entry);
  }

  /**
   * Sends one round of a steady load.
   *
   * @param load the load, as a part of the capacity
   * @param millis the time of one round
   * @param round the number of the round, which determines its plan
   * @return the report of the round
   */
  ObjectNode steady(double load, long millis, int round) {
    LoadRun.Result result = new LoadRun(setup).run(plan(round), Phase.steady(millis, load), entry);
    return new Report(deployment, seed)
        .with("load", load)
        .withCounts(List.of(result.tally()))
        .withLatency("first_token_ms", result.tally().firstToken())
        .with("requests_per_second", result.tally().completed() * 1000.0 / millis)
        .withCosts(result.before(), result.after())
        .toJson();
  }

  /**
   * Returns a plan that shares no number with the others.
   *
   * @param index the number of the plan
   * @return the plan
   */
  private LoadPlan plan(int index) {
    return new LoadPlan(deployment, seed + index, index * PLAN_NUMBERS);
  }

  /**
   * Sends a contended load.
   *
   * @param plan draws the requests
   * @param millis how long requests arrive
   * @return what it yielded
   */
  private LoadRun.Result contended(LoadPlan plan, long millis) {
    // The last organisation is a small one, so that its flood must wait behind the larger shares.
    int last = deployment.organisations().size() - 1;
    String flood = deployment.organisations().get(last).name();
    Phase phase =
        Phase.contention(millis, CONTENDED_LOAD, flood, Math.min(BURST_MILLIS, millis / 2));
    return new LoadRun(setup).run(plan, phase, entry);
  }

  /**
   * Compares the runs of the plain services with the answers.
   *
   * @param tallies the counts of the loads since the start of the services
   * @return the comparison
   */
  private RunCheck runs(List<Tally> tallies) {
    List<JsonNode> pages = new ArrayList<>();
    for (Node agent : deployment.agents()) {
      if (agent.pool().filter(pool -> !pool.isModel()).isPresent()) {
        String target = agent.address(Node.Port.TARGET);
        pages.add(LoadRun.await(setup.fetcher().json(target, "/runs")));
      }
    }
    Set<String> completed = new HashSet<>();
    Set<String> notRun = new HashSet<>();
    tallies.forEach(tally -> completed.addAll(tally.completedOrders()));
    tallies.forEach(tally -> notRun.addAll(tally.notRunOrders()));
    return RunCheck.of(pages, completed, notRun);
  }

  /**
   * Returns the entry that sends to the routers.
   *
   * @return the entry
   */
  private Entry routers() {
    Network network = new Network(deployment);
    return new Entry.Routers(
        deployment,
        deployment.routers().stream()
            .map(router -> network.callerAddress(router, Node.Port.LISTEN))
            .toList());
  }

  /**
   * Returns the entry that sends straight to the targets.
   *
   * @param prefix the prefix of the organisations that the targets see
   * @return the entry
   */
  private Entry direct(String prefix) {
    return new Entry.Targets(deployment, new Network(deployment), prefix);
  }

  /**
   * Returns the operations address of an instance.
   *
   * @param node the instance
   * @return the address as {@code ip:port}
   */
  private static String operationsOf(Node node) {
    return node.address(Node.Port.OPERATIONS);
  }
}
