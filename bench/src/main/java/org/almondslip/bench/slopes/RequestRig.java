package org.almondslip.bench.slopes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.almondslip.catalog.Catalog;
import org.almondslip.time.Clock;

/** One router connected to all agents of one pool; requests run in batches. */
final class RequestRig {

  /** Agents of a pool to which a router keeps connections. */
  static final int AGENTS = 16;

  /** Requests under way at the same time. */
  static final int BATCH = 16;

  /** Time between two batches, in milliseconds. */
  private static final long STEP_MILLIS = 10;

  /** Catalog of one pool. */
  private static final ScaleCatalog SCALE = new ScaleCatalog(97, 1, AGENTS, 1);

  /** Time that moves between the batches. */
  private final Clock.Manual clock = new Clock.Manual(1_000_000);

  /** Router. */
  private final RouterEnd router;

  /** Agents. */
  private final List<AgentEnd> agents;

  /** Processor time of the router. */
  private final ProcessorTime routerTime = new ProcessorTime();

  /** Processor time of all agents. */
  private final ProcessorTime agentTime = new ProcessorTime();

  /** Creates the processes and their connections. */
  RequestRig() {
    Catalog catalog = SCALE.toCatalog();
    router = new RouterEnd(clock, catalog);
    agents =
        new ArrayList<>(
            IntStream.range(0, AGENTS)
                .mapToObj(i -> new AgentEnd(i, SCALE.target(i), clock, catalog))
                .toList());
    for (int i = 0; i < AGENTS; i++) {
      AgentEnd agent = agents.get(i);
      agent.open(new Port(i, RouterEnd.IDENTITY, agent.sent, router.inbox));
      router.open(new Port(i, agent.identity(), router.sent, agent.inbox));
    }
  }

  /**
   * Runs requests to their end.
   *
   * @param requests the number of requests, a multiple of the batch
   * @param tokens the tokens of each answer
   * @return the costs of each request by name
   */
  Map<String, Double> run(int requests, int tokens) {
    takeCosts();
    long before = router.completed();
    for (int i = 0; i < requests / BATCH; i++) {
      runBatch(tokens);
    }
    if (router.completed() - before != requests) {
      throw new IllegalStateException("not all requests of the measurement were answered");
    }
    Map<String, Double> costs = takeCosts();
    costs.replaceAll((name, cost) -> cost / requests);
    return costs;
  }

  /**
   * Runs a batch of requests.
   *
   * @param tokens the tokens of each answer
   */
  private void runBatch(int tokens) {
    routerTime.time(
        () -> IntStream.range(0, BATCH).forEach(i -> router.submit(SCALE.flow(i), true)));
    exchange();
    agentTime.time(() -> agents.forEach(AgentEnd::head));
    exchange();
    for (int i = 0; i < tokens; i++) {
      agentTime.time(() -> agents.forEach(AgentEnd::token));
      exchange();
    }
    agentTime.time(() -> agents.forEach(AgentEnd::end));
    exchange();
    clock.advance(STEP_MILLIS);
  }

  /** Delivers frames until none is under way. */
  private void exchange() {
    while (!router.inbox.isEmpty() || agents.stream().anyMatch(agent -> !agent.inbox.isEmpty())) {
      agentTime.time(() -> agents.forEach(AgentEnd::receive));
      routerTime.time(router::receive);
    }
  }

  /**
   * Returns the costs and starts again at 0.
   *
   * @return the costs by name since the last call
   */
  private Map<String, Double> takeCosts() {
    Map<String, Double> costs = new HashMap<>();
    costs.put("router_us", routerTime.takeMicros());
    costs.put("agents_us", agentTime.takeMicros());
    costs.put("router_sent_control_bytes", router.sent.takeControl());
    costs.put("router_sent_framing_bytes", router.sent.takeFraming());
    costs.put(
        "agents_sent_control_bytes", agents.stream().mapToDouble(a -> a.sent.takeControl()).sum());
    costs.put(
        "agents_sent_framing_bytes", agents.stream().mapToDouble(a -> a.sent.takeFraming()).sum());
    return costs;
  }
}
