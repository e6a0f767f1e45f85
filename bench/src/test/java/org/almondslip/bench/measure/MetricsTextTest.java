package org.almondslip.bench.measure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the costs in reports: a metric must be found with and without labels and suffix. */
final class MetricsTextTest {

  @Test
  void labelledSamplesAreSummed() {
    String text =
        "# TYPE control counter\ncontrol_total{peer=\"a b\"} 3.0\ncontrol_total{peer=\"c\"} 4\n"
            + "slots 8\n";
    MetricsText metrics = MetricsText.parse(text);
    assertThat(metrics.get("control")).isEqualTo(7);
    assertThat(metrics.get("slots")).isEqualTo(8);
    assertThat(metrics.has("other")).isFalse();
  }
}
