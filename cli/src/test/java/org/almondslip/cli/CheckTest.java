package org.almondslip.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link Check}. */
class CheckTest {

  private static final String VALID =
      """
      {"version": 3,
       "services": [{"name": "s"}],
       "routes": [{"name": "r", "host": "h", "prefix": "/a/", "type": "idempotent",
                   "service": "s", "timeout_ms": 1000, "target_latency_ms": 500}]}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  /** Guards against findings, or another exit code, for a configuration without faults. */
  @Test
  void validConfigurationPasses() throws IOException {
    assertThat(run("check", write("a", VALID))).isEqualTo(ExitCode.OK);
    assertThat(text(out)).isEqualTo("no findings\n");
  }

  /** Guards against a finding without its place. */
  @Test
  void findingsHaveFileAndLine() throws IOException {
    String file = write("a", VALID.replace("1000", "-5"));
    assertThat(run("check", file)).isEqualTo(ExitCode.INVALID);
    assertThat(text(out))
        .startsWith(file + ":4: routes[0].timeout_ms: error: is not a whole number of at least 1");
  }

  /** Guards against an unreadable file that passes or is reported as a finding. */
  @Test
  void unreadableFilesAreUsageErrors() throws IOException {
    assertThat(run("check", write("a", "{"))).isEqualTo(ExitCode.USAGE);
    assertThat(run("check", directory.resolve("missing").toString())).isEqualTo(ExitCode.USAGE);
    assertThat(run("check", write("a", VALID), "--against", write("b", "[]")))
        .isEqualTo(ExitCode.USAGE);
    assertThat(text(err)).contains("cannot be read");
  }

  /** Guards against differences that are not shown, or that count as findings. */
  @Test
  void differencesAreShown() throws IOException {
    String inForce = write("a", VALID);
    String next = write("b", VALID.replace("3,", "4,").replace("1000", "900"));
    assertThat(run("check", next, "--against", inForce)).isEqualTo(ExitCode.OK);
    assertThat(text(out)).isEqualTo("difference: routes r timeout_ms: 1000 -> 900\nno findings\n");
    assertThat(run("check", inForce, "--against", next)).isEqualTo(ExitCode.INVALID);
    assertThat(text(out)).contains("is not above the version in force");
  }

  private ExitCode run(String... args) {
    return new AlmondslipMain(new PrintStream(out), new PrintStream(err)).run(args, Map.of());
  }

  private String write(String name, String content) throws IOException {
    return Files.writeString(directory.resolve(name), content).toString();
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }
}
