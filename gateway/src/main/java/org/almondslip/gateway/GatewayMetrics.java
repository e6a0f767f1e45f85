package org.almondslip.gateway;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.almondslip.directory.Directory;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.quarantine.SegmentQuarantine;

/** Registers the metrics of a router that calls targets itself. A scrape reads their values. */
final class GatewayMetrics {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final PrometheusRegistry registry;

  GatewayMetrics(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers all metrics.
   *
   * @param decisions the outcomes of requests
   * @param dispatcher the request queues
   * @param requestHandler the open requests
   * @param callers the connections of callers
   * @param directory the state of the fleet
   * @param eventLoopDelay the delay of the event loop
   * @param overloadDetector whether the router is overloaded
   * @param reports the counts of reports between routers
   * @param segmentQuarantine the quarantined prompt segments
   * @param quarantines the counts of quarantines
   * @param bodyMemory the memory of the bodies of requests and responses
   * @param responseMemory the unsent data of slow callers
   * @param uploads the request bodies that wait for memory
   */
  void register(
      DecisionLog decisions,
      Dispatcher dispatcher,
      CallerRequestHandler requestHandler,
      CallerConnections callers,
      Directory directory,
      EventLoopDelay eventLoopDelay,
      OverloadDetector overloadDetector,
      ReportCounts reports,
      SegmentQuarantine segmentQuarantine,
      QuarantineLog quarantines,
      BodyMemory bodyMemory,
      ResponseMemory responseMemory,
      UploadGate uploads) {
    CounterWithCallback.builder()
        .name("almondslip_gateway_requests_total")
        .help("Requests that have ended, by outcome")
        .labelNames("outcome")
        .callback(values -> decisions.outcomes().forEach((label, n) -> values.call(n, label)))
        .register(registry);
    registerResidency(decisions.residency(), directory);
    CounterWithCallback.builder()
        .name("almondslip_gateway_lost_attempts_total")
        .help(
            "Attempts that were lost after the request was sent, by how far the response had come")
        .labelNames("phase")
        .callback(
            values -> decisions.lostAttempts().forEach((phase, n) -> values.call(n, phase.label())))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_job_tokens_total")
        .help("Tokens that organisations asked for, by service and what became of them")
        .labelNames("service", "organisation", "decision")
        .callback(values -> collectTokens(dispatcher, values))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_held_back_total")
        .help("Sends that were held back for other organisations")
        .labelNames("service")
        .callback(values -> dispatcher.statistics().heldBack().forEach((s, n) -> values.call(n, s)))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_memory_withheld_total")
        .help("Sends that were withheld since the available targets lack memory for the prompt")
        .labelNames("service")
        .callback(
            values ->
                dispatcher.statistics().withheldForMemory().forEach((s, n) -> values.call(n, s)))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_reports_total")
        .help("Datagrams between routers, by what became of them")
        .labelNames("event")
        .callback(
            values -> {
              values.call(reports.sent(), "sent");
              values.call(reports.received(), "read");
              values.call(reports.unreadable(), "unreadable");
            })
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_report_bytes_total")
        .help("Bytes of the datagrams that were sent to other routers")
        .callback(values -> values.call(reports.sentBytes()))
        .register(registry);
    gauge(
        "almondslip_gateway_quarantined_segments",
        "Prompt segments that are quarantined or probed",
        () -> segmentQuarantine.restrictedSegments());
    CounterWithCallback.builder()
        .name("almondslip_gateway_segment_quarantines_total")
        .help("Quarantines of prompt segments, by what became of them")
        .labelNames("event")
        .callback(
            values -> {
              values.call(quarantines.quarantines(), "started");
              values.call(quarantines.releases(), "released");
            })
        .register(registry);
    gauge(
        "almondslip_gateway_largest_report_bytes",
        "Size of the largest datagram that was sent to other routers",
        () -> reports.largestBytes());
    gauge(
        "almondslip_gateway_waiting_requests",
        "Requests without a target",
        () -> dispatcher.waiting());
    gauge(
        "almondslip_gateway_open_requests",
        "Requests that have not ended",
        () -> requestHandler.openRequests());
    gauge("almondslip_gateway_caller_connections", "Connections of callers", () -> callers.size());
    gauge(
        "almondslip_gateway_caller_connections_limit",
        "Largest number of connections of callers",
        () -> callers.capacity());
    CounterWithCallback.builder()
        .name("almondslip_gateway_caller_connections_closed_total")
        .help("Connections of callers that were closed for want of descriptors")
        .labelNames("reason")
        .callback(
            values -> {
              values.call(callers.evicted(), "idle");
              values.call(callers.refused(), "all_busy");
            })
        .register(registry);
    gauge(
        "almondslip_gateway_routes_version",
        "Version of the routes in force",
        () -> directory.table().map(table -> (double) table.version()).orElse(0.0));
    gauge(
        "almondslip_gateway_routes_age_seconds",
        "Age of the known routes and keys",
        () -> directory.routesFreshness().ageMillis() / MILLIS_PER_SECOND);
    gauge(
        "almondslip_gateway_event_loop_delay_seconds",
        "Longest time that a request which is read now may have waited unread",
        () -> eventLoopDelay.millis() / MILLIS_PER_SECOND);
    gauge(
        "almondslip_gateway_overloaded",
        "1 while the router is behind its load and not ready",
        () -> overloadDetector.overloaded() ? 1 : 0);
    gauge("almondslip_gateway_targets", "Live targets", () -> directory.targets().size());
    gauge(
        "almondslip_gateway_body_bytes",
        "Memory of the bodies of requests and responses",
        () -> bodyMemory.used());
    gauge(
        "almondslip_gateway_body_bytes_limit",
        "Largest memory of the bodies of requests and responses",
        () -> bodyMemory.capacity());
    CounterWithCallback.builder()
        .name("almondslip_gateway_bodies_refused_total")
        .help("Requests and responses that were given up for want of memory")
        .callback(values -> values.call(bodyMemory.refused()))
        .register(registry);
    TargetSpeedMetrics.register(registry, dispatcher);
    gauge(
        "almondslip_gateway_unsent_bytes",
        "Data of responses that callers have not read yet, including write queues",
        () -> responseMemory.heldBytes());
    gauge(
        "almondslip_gateway_paused_targets",
        "Responses that are not read since their callers hold much memory",
        () -> responseMemory.pausedTargets());
    gauge(
        "almondslip_gateway_paused_uploads",
        "Request bodies that are not read since memory is short",
        () -> uploads.waiting());
    CounterWithCallback.builder()
        .name("almondslip_gateway_callers_cut_off_total")
        .help("Callers whose responses were aborted since they read too slowly")
        .labelNames("reason")
        .callback(values -> responseMemory.cutOffs().forEach((r, n) -> values.call(n, r.label())))
        .register(registry);
  }

  /** Registers the metrics of region rules and evacuations. */
  private void registerResidency(ResidencyLog residency, Directory directory) {
    gauge(
        "almondslip_gateway_evacuated_data_centres",
        "Data centres whose targets receive nothing, since the operator has evacuated them",
        () -> directory.evacuatedDataCentres().size());
    CounterWithCallback.builder()
        .name("almondslip_gateway_excluded_requests_total")
        .help("Requests that were refused since region rules or evacuations left no target")
        .labelNames("reason")
        .callback(values -> residency.refused().forEach((why, n) -> values.call(n, why.label())))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_withheld_sends_total")
        .help("Requests that were withheld from a target after the connection was established")
        .labelNames("reason")
        .callback(values -> residency.withheld().forEach((why, n) -> values.call(n, why.label())))
        .register(registry);
  }

  /** Collects the tokens of all organisations by what became of them. */
  private static void collectTokens(Dispatcher dispatcher, CounterWithCallback.Callback values) {
    dispatcher
        .statistics()
        .counts()
        .forEach(
            (owner, counts) -> {
              values.call(counts.requestedTokens(), owner.service(), owner.organisation(), "asked");
              values.call(counts.sentTokens(), owner.service(), owner.organisation(), "sent");
              counts
                  .refusedTokens()
                  .forEach(
                      (reason, tokens) ->
                          values.call(
                              tokens, owner.service(), owner.organisation(), reason.label()));
            });
  }

  private void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(values -> values.call(value.getAsDouble()))
        .register(registry);
  }
}
