package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;
import org.almondslip.routing.RoutingSettings;
import org.almondslip.settings.Section;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Cases of {@link RouterSettings}. */
class RouterSettingsTest {

  /** Example settings of the repository. */
  private static final Path EXAMPLE = Path.of("..", "config", "router.yaml");

  /** Findings of the last read. */
  private final Findings findings = new Findings();

  /** Guards against an example that the program refuses or that shows other defaults. */
  @Test
  void acceptsExample() throws IOException {
    RouterSettings settings = read(Files.readString(EXAMPLE));
    assertThat(findings.toList()).isEmpty();
    assertThat(settings.instance()).isEqualTo("entry-1");
    assertThat(settings.platform().instanceList()).isEqualTo("127.0.0.1:9003");
    assertThat(settings.routing()).isEqualTo(RoutingSettings.DEFAULT);
    assertThat(settings.callers()).isEqualTo(CallerLimits.DEFAULT);
    assertThat(settings.drainMillis()).isEqualTo(300_000);
  }

  /** Guards against clashes and unknown keys that are found one at a time, or not at all. */
  @Test
  void reportsAllFindingsTogether() throws IOException {
    String text =
        Files.readString(EXAMPLE)
            .replace("queue_per_flow: 256", "queue_per_flow: 4096")
            .replace("spill_after: 50ms", "spill_after: 50")
            .replace("default_deadline: 2min", "default_deadline: 2h")
            .replace("secret: change-this-shared-secret", "secret: short")
            .replace("instance: entry-1", "instances: entry-1");
    read(text);
    assertThat(findings.toList())
        .extracting(Finding::field)
        .containsExactlyInAnyOrder(
            "limits.queue_per_flow",
            "limits.spill_after",
            "limits.default_deadline",
            "secret",
            "instance",
            "instances");
  }

  /**
   * Guards against a secret that can only be written into the settings.
   *
   * @param directory a directory for the file
   */
  @Test
  void readsSecretFromFile(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("secret"), "a-secret-out-of-a-file\n");
    String example = Files.readString(EXAMPLE);
    String line = "secret: change-this-shared-secret";
    RouterSettings settings = read(example.replace(line, "secret_file: " + file));
    assertThat(findings.toList()).isEmpty();
    assertThat(settings.secret()).isEqualTo("a-secret-out-of-a-file");
    read(example.replace(line, line + "\nsecret_file: " + file));
    read(example.replace(line, "secret_file: " + directory.resolve("missing")));
    assertThat(findings.toList()).hasSize(2).allMatch(f -> f.field().equals("secret_file"));
  }

  /**
   * Reads settings.
   *
   * @param text the content of the file
   * @return the settings
   */
  private RouterSettings read(String text) {
    Section section = Section.of("router.yaml", text, findings);
    RouterSettings settings = new RouterProgram().readSettings(section);
    section.reportUnknownKeys();
    return settings;
  }
}
