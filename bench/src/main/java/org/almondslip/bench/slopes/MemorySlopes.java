package org.almondslip.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.almondslip.time.Clock;

/** Heap that the state of a router and of an agent takes. */
final class MemorySlopes {

  /** Tokens of the answers that fill the request history. */
  private static final int TOKENS = 1;

  /** Not instantiable. */
  private MemorySlopes() {}

  /**
   * Measures.
   *
   * @return the bytes
   */
  static List<Series> measure() {
    List<Series> series = new ArrayList<>();
    series.addAll(
        Sweep.STEADY.run(
            "memory_router_flow",
            "flows with one request waiting, offered to 16 agents",
            new int[] {97, 485, 970},
            MemorySlopes::routerFlows));
    series.addAll(
        Sweep.STEADY.run(
            "memory_router_connection",
            "connections without offers",
            new int[] {100, 1_000, 2_000},
            connections -> heap(() -> connections(connections))));
    series.addAll(
        Sweep.STEADY.run(
            "memory_agent_offer",
            "offers, 9 from each router",
            new int[] {900, 4_500, 9_000},
            offers -> heap(() -> offers(offers))));
    series.addAll(
        Sweep.STEADY.run(
            "memory_request_history",
            "requests ended at 16 agents",
            new int[] {1_600, 16_000, 48_000},
            requests -> heap(() -> history(requests))));
    return series;
  }

  /**
   * Measures waiting requests, without the catalog and the connections.
   *
   * @param flows the number of flows
   * @return the bytes
   */
  private static Map<String, Double> routerFlows(int flows) {
    ScaleCatalog scale = new ScaleCatalog(flows, 1, RequestRig.AGENTS, 1);
    Clock.Manual clock = new Clock.Manual(1_000_000);
    RouterEnd router = OfferSlopes.connected(scale, clock, RequestRig.AGENTS);
    return heap(
        () -> {
          IntStream.range(0, flows).forEach(i -> router.submit(scale.flow(i), false));
          for (int i = 0; i < RequestRig.AGENTS; i++) {
            clock.advance(10);
            router.tick();
          }
          return router;
        });
  }

  /**
   * Opens connections.
   *
   * @param count the number
   * @return what keeps them reachable
   */
  private static Object connections(int count) {
    return OfferSlopes.connected(new ScaleCatalog(1, 1, 1, 1), new Clock.Manual(1), count);
  }

  /**
   * Fills a book with offers.
   *
   * @param count the number
   * @return what keeps them reachable
   */
  private static Object offers(int count) {
    return OfferSlopes.book(OfferSlopes.FLOWS_OF_POOL, count / OfferSlopes.FLOWS_OF_POOL);
  }

  /**
   * Runs requests to their end.
   *
   * @param count the number
   * @return what keeps the agents reachable
   */
  private static Object history(int count) {
    RequestRig rig = new RequestRig();
    rig.run(count / RequestRig.BATCH * RequestRig.BATCH, TOKENS);
    return rig;
  }

  /**
   * Measures an object graph.
   *
   * @param graph builds it
   * @return the bytes
   */
  private static Map<String, Double> heap(Supplier<?> graph) {
    return Map.of("heap_bytes", HeapUse.of(graph));
  }
}
