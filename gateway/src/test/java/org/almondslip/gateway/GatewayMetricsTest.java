package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Tests of {@link GatewayMetrics}. */
class GatewayMetricsTest {

  /** Document that lists the metrics. */
  private static final Path METRICS_DOCUMENT = Path.of("..", "docs", "OPERATIONS.md");

  /** Table row with the name of a metric. */
  private static final Pattern METRIC_ROW =
      Pattern.compile("(?m)^\\| \\w+ \\| `(almondslip_gateway_\\w+?)(?:_total)?`");

  /** Guards against undocumented metrics and documented metrics that do not exist. */
  @Test
  void documentListsEveryMetric() throws IOException {
    PrometheusRegistry registry = new PrometheusRegistry();
    DecisionLog decisions = new DecisionLog(Clock.Standard.SYSTEM, registry);
    new GatewayMetrics(registry)
        .register(
            decisions, null, null, null, null, null, null, null, null, null, null, null, null);
    PaceMetrics.register(registry, null, null, null);
    Set<String> documented = new TreeSet<>();
    Matcher matcher = METRIC_ROW.matcher(Files.readString(METRICS_DOCUMENT));
    while (matcher.find()) {
      documented.add(matcher.group(1));
    }
    Set<String> registered = new TreeSet<>();
    registry.scrape(name -> registered.add(name.replaceAll("_total$", "")) && false);
    assertThat(documented).isNotEmpty().isEqualTo(registered);
  }
}
