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

/** Cases of {@link GatewayMetrics}. */
class GatewayMetricsTest {

  /** Page that lists the metrics. */
  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

  /** Metric in a row of the page. */
  private static final Pattern ROW =
      Pattern.compile("(?m)^\\| \\w+ \\| `(almondslip_gateway_\\w+?)(?:_total)?`");

  /** Guards against a metric that the operators' page does not list, or no longer exists. */
  @Test
  void operationsPageListsEveryMetric() throws IOException {
    PrometheusRegistry registry = new PrometheusRegistry();
    DecisionLog decisions = new DecisionLog(Clock.Standard.SYSTEM, registry);
    new GatewayMetrics(registry).register(decisions, null, null, null, null, null, null, null);
    Set<String> listed = new TreeSet<>();
    Matcher matcher = ROW.matcher(Files.readString(PAGE));
    while (matcher.find()) {
      listed.add(matcher.group(1));
    }
    Set<String> registered = new TreeSet<>();
    registry.scrape(name -> registered.add(name.replaceAll("_total$", "")) && false);
    assertThat(listed).isNotEmpty().isEqualTo(registered);
  }
}
