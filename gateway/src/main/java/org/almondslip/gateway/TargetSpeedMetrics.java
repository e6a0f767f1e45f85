package org.almondslip.gateway;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.SpeedStatus;

/** Registers the metrics of the speeds of targets. */
final class TargetSpeedMetrics {

  private static final double PERMILLE = 1_000;

  private static final double PERCENT = 100;

  private TargetSpeedMetrics() {}

  /**
   * Registers the metrics.
   *
   * @param registry the metrics registry of the process
   * @param dispatcher the dispatcher that holds the targets
   */
  static void register(PrometheusRegistry registry, Dispatcher dispatcher) {
    GaugeWithCallback.builder()
        .name("almondslip_gateway_target_speed")
        .help("Speed of a target relative to the mean of its service")
        .labelNames("service", "target")
        .callback(
            values ->
                dispatcher
                    .speeds()
                    .forEach(
                        speed ->
                            values.call(
                                speed.speedPermille() / PERMILLE, speed.service(), speed.target())))
        .register(registry);
    GaugeWithCallback.builder()
        .name("almondslip_gateway_target_work_ratio")
        .help("Current duration of work at a target relative to the usual one")
        .labelNames("service", "target")
        .callback(
            values ->
                dispatcher
                    .speeds()
                    .forEach(
                        speed ->
                            values.call(
                                speed.workPercent() / PERCENT, speed.service(), speed.target())))
        .register(registry);
    CounterWithCallback.builder()
        .name("almondslip_gateway_ignored_load_figures_total")
        .help("Figures about the load or speed of targets that were missing or not plausible")
        .labelNames("service")
        .callback(values -> ignored(dispatcher).forEach((s, n) -> values.call(n, s)))
        .register(registry);
  }

  private static Map<String, Long> ignored(Dispatcher dispatcher) {
    Map<String, Long> counts = new TreeMap<>();
    for (SpeedStatus speed : dispatcher.speeds()) {
      counts.put(speed.service(), speed.ignoredFigures());
    }
    return counts;
  }
}
