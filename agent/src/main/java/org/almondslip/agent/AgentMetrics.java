package org.almondslip.agent;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.almondslip.execution.ExecutionCounters;
import org.almondslip.execution.ExecutionCounters.Count;
import org.almondslip.order.ClaimCounters;
import org.almondslip.protocol.TrafficCounters;

/** Metrics of an agent. */
final class AgentMetrics {

  /** Milliseconds per second. */
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Registry that gets the metrics. */
  private final PrometheusRegistry registry;

  /**
   * Creates a registrar.
   *
   * @param registry the registry that gets the metrics
   */
  AgentMetrics(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers the metrics of slots and requests.
   *
   * @param counters the counters of the agent
   */
  void register(ExecutionCounters counters) {
    gauge("slots", "Slots of the target", counters::slots);
    gauge("slots_busy", "Slots in use", counters::busySlots);
    gauge("staged", "Requests that wait for a slot", counters::staged);
    gauge(
        "exclusive",
        "1 while a request that must run alone keeps other slots empty",
        () -> counters.waitsAlone() ? 1 : 0);
    counter(
        "slot_busy_seconds",
        "Slot time in use",
        "",
        Map.of("", () -> counters.value(Count.SLOT_BUSY_MILLIS) / MILLIS_PER_SECOND));
    counter(
        "slot_idle_waiting_seconds",
        "Slot time not in use while a known request waited",
        "",
        Map.of("", () -> counters.value(Count.SLOT_IDLE_WAITING_MILLIS) / MILLIS_PER_SECOND));
    counter(
        "requests",
        "Requests by outcome",
        "outcome",
        Map.of(
            "completed", () -> counters.value(Count.COMPLETED),
            "not_run", () -> counters.value(Count.NOT_RUN),
            "unknown", () -> counters.value(Count.OUTCOME_UNKNOWN)));
    counter(
        "frames",
        "Frames that were ignored",
        "reason",
        Map.of(
            "dropped", () -> counters.value(Count.FRAMES_DROPPED),
            "repeated", () -> counters.value(Count.FRAMES_REPEATED)));
    counter(
        "grants_unused",
        "Grants that no request used",
        "reason",
        Map.of(
            "declined", () -> counters.value(Count.GRANTS_DECLINED),
            "expired", () -> counters.value(Count.GRANTS_EXPIRED)));
    counter(
        "target_crashes",
        "Crashes of the target",
        "",
        Map.of("", () -> counters.value(Count.CRASHES)));
  }

  /**
   * Registers the metrics of claims.
   *
   * @param claims the counters of claims
   */
  void register(ClaimCounters claims) {
    Map<String, DoubleSupplier> values = new TreeMap<>();
    for (ClaimCounters.Result result : ClaimCounters.Result.values()) {
      values.put(result.name().toLowerCase(Locale.ROOT), () -> claims.value(result));
    }
    counter("claims", "Claims of idempotency keys and their records", "result", values);
  }

  /**
   * Registers the metrics of inner traffic.
   *
   * @param traffic the counters of the transport
   */
  void register(TrafficCounters traffic) {
    counter(
        "inner_bytes",
        "Bytes on inner connections",
        "kind",
        Map.of(
            "control", traffic::controlBytes,
            "data", traffic::dataBytes,
            "framing", traffic::framingBytes,
            "cross_region_sent", traffic::crossRegionBytes));
  }

  /**
   * Registers the age of the load report.
   *
   * @param poller the poller
   */
  void register(LoadPoller poller) {
    gauge(
        "load_age_seconds",
        "Age of the target's load report",
        () -> poller.ageMillis() / MILLIS_PER_SECOND);
  }

  /**
   * Registers the revision of the catalog.
   *
   * @param revision supplies the current revision
   */
  void registerCatalog(LongSupplier revision) {
    gauge("catalog_revision", "Catalog revision in force", revision::getAsLong);
  }

  /**
   * Registers a gauge.
   *
   * @param name the name without prefix
   * @param help the description
   * @param value supplies the value
   */
  private void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("almondslip_agent_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Registers a counter.
   *
   * @param name the name without prefix
   * @param help the description
   * @param label the name of the label, empty for a counter without label
   * @param values the value suppliers by label value
   */
  private void counter(String name, String help, String label, Map<String, DoubleSupplier> values) {
    CounterWithCallback.Builder builder =
        CounterWithCallback.builder().name("almondslip_agent_" + name).help(help);
    if (label.isEmpty()) {
      builder.callback(callback -> callback.call(values.get("").getAsDouble()));
    } else {
      builder
          .labelNames(label)
          .callback(
              callback -> values.forEach((key, value) -> callback.call(value.getAsDouble(), key)));
    }
    builder.register(registry);
  }
}
