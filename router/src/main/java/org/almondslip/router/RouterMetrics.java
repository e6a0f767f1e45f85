package org.almondslip.router;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.almondslip.protocol.TrafficCounters;
import org.almondslip.routing.RoutingStats;

/** Metrics of a router. They are read when they are scraped. */
final class RouterMetrics {

  /** Milliseconds in a second. */
  private static final double SECOND = 1_000;

  /** Registry of the process. */
  private final PrometheusRegistry registry;

  /**
   * Creates metrics that are not registered.
   *
   * @param registry the registry of the process
   */
  RouterMetrics(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers the metrics of the decisions.
   *
   * @param stats the state of the decisions
   */
  void registerRouting(Supplier<RoutingStats> stats) {
    CounterWithCallback.builder()
        .name("almondslip_requests_total")
        .help("Requests that have ended, by outcome code")
        .labelNames("code")
        .callback(values -> stats.get().outcomes().forEach((code, n) -> values.call(n, code)))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_routing_events_total")
        .help("Dispatches, declines, retries, dropped answers and other events, by kind")
        .labelNames("event")
        .callback(values -> stats.get().events().forEach((event, n) -> values.call(n, event)))
        .register(registry);
    counter(
        "almondslip_wait_seconds_total",
        "Time that dispatched requests have waited",
        () -> stats.get().waitMillis() / SECOND);
    gauge("almondslip_waiting_requests", "Waiting requests", () -> stats.get().waiting());
    gauge(
        "almondslip_inflight_requests",
        "Requests at agents whose end has not arrived",
        () -> stats.get().inFlight());
    gauge(
        "almondslip_held_body_bytes",
        "Bytes of request bodies held",
        () -> stats.get().heldBytes());
    gauge("almondslip_connected_agents", "Connections to agents", () -> stats.get().agents());
  }

  /**
   * Registers the metrics of the callers' API.
   *
   * @param exchanges the open exchanges
   * @param server the server
   */
  void registerCallers(Exchanges exchanges, CallerServer server) {
    gauge("almondslip_open_exchanges", "Requests of callers in progress", exchanges::size);
    gauge("almondslip_caller_connections", "Connections of callers", server::connections);
    gauge(
        "almondslip_incoming_body_bytes",
        "Bytes of bodies that are being received",
        () -> exchanges.incoming().used());
    gauge(
        "almondslip_unread_answer_bytes",
        "Bytes of answers that callers have not read",
        () -> exchanges.unread().used());
  }

  /**
   * Registers the revision of the catalog.
   *
   * @param revision yields the revision in force
   */
  void registerCatalog(LongSupplier revision) {
    gauge("almondslip_catalog_revision", "Catalog revision in force", revision::getAsLong);
  }

  /**
   * Registers the traffic of the inner protocol.
   *
   * @param traffic the counters
   */
  void registerTraffic(TrafficCounters traffic) {
    counter("almondslip_control_bytes_total", "Bytes of control frames", traffic::controlBytes);
    counter(
        "almondslip_framing_bytes_total",
        "Bytes around the bodies in the frames that carry one",
        traffic::framingBytes);
    counter("almondslip_data_bytes_total", "Bytes of bodies in frames", traffic::dataBytes);
    counter(
        "almondslip_cross_region_bytes_total",
        "Bytes sent to other regions",
        traffic::crossRegionBytes);
    counter("almondslip_frames_total", "Frames sent and received", traffic::frames);
  }

  /**
   * Registers a counter.
   *
   * @param name the name
   * @param help the description
   * @param value the value
   */
  private void counter(String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .callback(values -> values.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Registers a gauge.
   *
   * @param name the name
   * @param help the description
   * @param value the value
   */
  private void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(values -> values.call(value.getAsDouble()))
        .register(registry);
  }
}
