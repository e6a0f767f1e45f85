package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Cases of {@link RouterMetrics}. */
class RouterMetricsTest {

  /** Page that lists the metrics. */
  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

  /** Metric in a row of the page. */
  private static final Pattern ROW = Pattern.compile("(?m)^\\| `(almondslip_(?!agent_)\\w+)`");

  /** Metric in the text format. */
  private static final Pattern TYPE = Pattern.compile("(?m)^# TYPE (\\w+) ");

  /** Guards against a metric that the operators' page does not list, or no longer exists. */
  @Test
  void operationsPageListsEveryMetric() throws Exception {
    try (RouterFixture fixture = new RouterFixture(CallerLimits.DEFAULT)) {
      fixture.send("POST", "/v1/chat/completions", "{\"model\":\"none\",\"messages\":[]}");
      RouterFixture.await(() -> fixture.metrics().contains("almondslip_requests_total"));
      Set<String> exported = names(TYPE, fixture.metrics());
      assertThat(exported).isEqualTo(names(ROW, Files.readString(PAGE)));
    }
  }

  /**
   * Finds names in a text.
   *
   * @param pattern the pattern whose first group is the name
   * @param text the text
   * @return the names in order
   */
  private static Set<String> names(Pattern pattern, String text) {
    Set<String> names = new TreeSet<>();
    Matcher matcher = pattern.matcher(text);
    while (matcher.find()) {
      names.add(matcher.group(1).replaceAll("_total$", ""));
    }
    return names;
  }
}
