package org.almondslip.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;
import org.almondslip.execution.AgentLimits;
import org.almondslip.settings.Section;
import org.junit.jupiter.api.Test;

/** Guards against an invalid example file and against undetected errors in settings. */
class AgentSettingsTest {

  private final Findings findings = new Findings();

  @Test
  void exampleFileHasNoFindingsAndShowsTheDefaults() throws IOException {
    AgentSettings settings = read(Files.readString(Path.of("..", "config", "agent.yaml")));
    assertThat(findings.toList()).isEmpty();
    assertThat(settings.target().host()).isEqualTo("127.0.0.1");
    assertThat(settings.target().port()).isEqualTo(8000);
    assertThat(settings.limits()).isEqualTo(AgentLimits.DEFAULT);
    assertThat(settings.drainMillis()).isEqualTo(300_000);
  }

  @Test
  void reportsAllFaultsTogether() {
    read(
        """
        instance: i1
        region: r
        data_centre: d
        inner_listen: localhost:1
        operations_listen: 127.0.0.1:2
        secret: short
        target: {name: t1, address: 127.0.0.1:3, prefetch: -1}
        platform:
          table_service: 127.0.0.1:4
          object_store: 127.0.0.1:5
          instance_list: 127.0.0.1:6
        limits: {progress: 30, reattach: 10s, windows: 1KiB}
        """);
    assertThat(findings.toList())
        .extracting(Finding::field)
        .containsExactlyInAnyOrder(
            "inner_listen", "secret", "target.prefetch", "limits.progress", "limits.windows");
  }

  private AgentSettings read(String text) {
    Section section = Section.of("agent.yaml", text, findings);
    AgentSettings settings = AgentSettings.of(section);
    section.reportUnknownKeys();
    return settings;
  }
}
