package org.almondslip.bench.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.almondslip.bench.deployment.Deployment;
import org.almondslip.bench.deployment.Network;
import org.almondslip.bench.deployment.Node;
import org.almondslip.bench.load.Entry;
import org.almondslip.bench.load.LoadGenerator;
import org.almondslip.bench.load.LoadPlan;
import org.almondslip.bench.load.Phase;
import org.almondslip.bench.load.PlannedRequest;
import org.almondslip.bench.load.RequestKind;
import org.almondslip.bench.load.Tally;
import org.almondslip.bench.measure.Fetcher;
import org.almondslip.bench.measure.RunCheck;

/** Sends a steady load while a script strikes a fault, and a second load after its end. */
public final class FaultRun {

  /** File that tells the script that the load has begun. */
  private static final String BEGUN_FILE = "load-begun";

  /**
   * Load as a part of the capacity. The fleet without one of its three engines is then loaded to
   * less than a half, so that no request is refused for lack of room.
   */
  private static final double LOAD = 0.3;

  /** Time of the load after the end of the fault, in milliseconds. */
  private static final long AFTER_MILLIS = 3_000;

  /** Longest wait for answers after the last request, in milliseconds. */
  private static final long DRAIN_MILLIS = 25_000;

  /** Time before the request that crashes engines, in milliseconds. */
  private static final long CRASH_MILLIS = 3_000;

  /** Distance between the first numbers of the two plans. */
  private static final int PLAN_NUMBERS = 1_000_000;

  /** Timers and event loops. */
  private final Vertx vertx;

  /** Deployment. */
  private final Deployment deployment;

  /** Directory of the run. */
  private final Path directory;

  /** Seed of the load. */
  private final long seed;

  /** HTTP client. */
  private final HttpClient client;

  /**
   * Prepares a run.
   *
   * @param vertx the timers and event loops
   * @param deployment the deployment, whose processes run
   * @param directory the directory that is shared with the script
   * @param seed the seed of the load
   */
  public FaultRun(Vertx vertx, Deployment deployment, Path directory, long seed) {
    this.vertx = vertx;
    this.deployment = deployment;
    this.directory = directory;
    this.seed = seed;
    this.client = vertx.createHttpClient();
  }

  /**
   * Sends the loads and judges the answers.
   *
   * @param kind the case
   * @param millis the time of the load during which the fault strikes
   * @return the counts and what the case does not allow
   */
  public ObjectNode run(FaultCase kind, long millis) {
    List<PlannedRequest> requests = draw(0, millis);
    if (kind == FaultCase.CRASH_TARGET) {
      crashEnginesOn(requests);
    }
    Tally during = send(requests, true);
    Tally after = send(draw(1, AFTER_MILLIS), false);
    String struck = deployment.routers().get(0).host();
    return new FaultReport(kind, struck, during, after, runs(during, after)).toJson();
  }

  /**
   * Draws a steady load.
   *
   * @param index the number of the plan
   * @param millis how long requests arrive
   * @return the requests
   */
  private List<PlannedRequest> draw(int index, long millis) {
    return new LoadPlan(deployment, seed + index, index * PLAN_NUMBERS)
        .draw(Phase.steady(millis, LOAD));
  }

  /**
   * Sends a load and waits for its answers.
   *
   * @param requests the requests
   * @param announce whether to tell the script that it has begun
   * @return the counts
   */
  private Tally send(List<PlannedRequest> requests, boolean announce) {
    Network network = new Network(deployment);
    List<String> addresses =
        deployment.routers().stream()
            .map(router -> network.callerAddress(router, Node.Port.LISTEN))
            .toList();
    Tally tally = new Tally();
    Entry entry = new Entry.OtherRouter(deployment, addresses);
    Future<Void> done =
        new LoadGenerator(vertx, vertx.getOrCreateContext(), entry, tally)
            .run(requests, DRAIN_MILLIS);
    if (announce) {
      touch(directory.resolve(BEGUN_FILE));
    }
    await(done);
    return tally;
  }

  /**
   * Creates an empty file.
   *
   * @param file the file
   */
  private static void touch(Path file) {
    try {
      Files.createFile(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Makes all engines crash on one of the requests.
   *
   * @param requests the requests
   */
  private void crashEnginesOn(List<PlannedRequest> requests) {
    PlannedRequest request =
        requests.stream()
            .filter(each -> each.kind() == RequestKind.FULL_DRAFT)
            .filter(each -> each.atMillis() >= CRASH_MILLIS)
            .findFirst()
            .orElseThrow();
    ObjectNode faults = JsonNodeFactory.instance.objectNode();
    // The quotation mark ends the number, so that no other number has it as a prefix.
    faults.put("crashMarker", request.kind().name() + " " + request.number() + "\"");
    for (Node agent : deployment.agents()) {
      if (agent.pool().orElseThrow().isModel()) {
        post(agent.host(), agent.basePort() + Node.Port.TARGET.ordinal(), faults.toString());
      }
    }
  }

  /**
   * Sets faults at a stand-in.
   *
   * @param host the host
   * @param port the port
   * @param faults the faults as JSON
   */
  private void post(String host, int port, String faults) {
    int status =
        await(
            client
                .request(HttpMethod.POST, port, host, "/faults")
                .compose(request -> request.send(faults))
                .map(response -> response.statusCode()));
    if (status != 200) {
      throw new IllegalStateException("/faults was answered with status " + status);
    }
  }

  /**
   * Compares the runs of the plain services with the answers.
   *
   * @param tallies the counts of all loads
   * @return the comparison
   */
  private RunCheck runs(Tally... tallies) {
    Fetcher fetcher = new Fetcher(client);
    List<JsonNode> pages = new ArrayList<>();
    for (Node agent : deployment.agents()) {
      if (!agent.pool().orElseThrow().isModel()) {
        pages.add(await(fetcher.json(agent.address(Node.Port.TARGET), "/runs")));
      }
    }
    Set<String> completed = new HashSet<>();
    Set<String> notRun = new HashSet<>();
    for (Tally tally : tallies) {
      completed.addAll(tally.completedOrders());
      notRun.addAll(tally.notRunOrders());
    }
    return RunCheck.of(pages, completed, notRun);
  }

  /**
   * Waits for a result.
   *
   * @param future the future
   * @param <T> the type of the result
   * @return the result
   */
  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }
}
