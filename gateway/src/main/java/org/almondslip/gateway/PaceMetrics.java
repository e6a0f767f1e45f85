package org.almondslip.gateway;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.almondslip.pace.FleetPace;

/** Registers the metrics of the pace of targets. A scrape reads their values. */
final class PaceMetrics {

  private PaceMetrics() {}

  /**
   * Registers all metrics.
   *
   * @param registry the metrics registry of the process
   * @param pace the pace of targets
   * @param log the counts of changes
   * @param probe the counts of health checks
   */
  static void register(
      PrometheusRegistry registry, FleetPace pace, PaceLog log, ColdTargetProbe probe) {
    GaugeWithCallback.builder()
        .name("almondslip_gateway_cold_targets")
        .help("Targets that are taken to be cold")
        .callback(values -> values.call(pace.coldTargets()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("almondslip_gateway_ramping_targets")
        .help("Targets whose concurrent requests are limited by a window")
        .callback(values -> values.call(pace.rampingTargets()))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_cold_periods_total")
        .help("Cold periods of targets, by why the target was taken to be cold")
        .labelNames("reason")
        .callback(values -> log.coldPeriods().forEach((why, n) -> values.call(n, why.label())))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_cold_permits_total")
        .help("Permits for cold targets that were granted, and dispatched requests held back")
        .labelNames("event")
        .callback(
            values -> {
              values.call(log.granted(), "granted");
              log.withheld().forEach((why, n) -> values.call(n, why.label()));
            })
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_window_changes_total")
        .help("Starts, decreases and ends of windows of targets, by reason")
        .labelNames("reason")
        .callback(values -> log.windowChanges().forEach((why, n) -> values.call(n, why.label())))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_health_checks_total")
        .help("Health checks of cold targets, by outcome")
        .labelNames("outcome")
        .callback(values -> probe.outcomes().forEach((what, n) -> values.call(n, what.label())))
        .register(registry);
  }
}
