package org.almondslip.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link Explain}. */
class ExplainTest {

  /** Output for results. */
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  /** Output for errors. */
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  /** Guards against lines that are out of order or belong to another request. */
  @Test
  void linesOfAllProcessesAreOrderedByTime() throws IOException {
    Path first = writeLog("a", line("02", "r-1", "x", "sent"), line("09", "r-1", "x", "served"));
    Path second =
        writeLog(
            "b", line("05", "r-2", "x", "refused"), line("06", "r-2", "y", "other"), "no json");
    assertThat(run("x", first, second)).isEqualTo(ExitCode.OK);
    assertThat(out.toString(StandardCharsets.UTF_8))
        .containsSubsequence("r-1  sent", "r-2  refused", "r-1  served")
        .doesNotContain("other");
  }

  /** Guards against missing or unrelated state lines. */
  @Test
  void stateBeforeTheRequestIsShown() throws IOException {
    Path file =
        writeLog(
            "a",
            line("01", "r-1", "", "the store fails for op"),
            line("02", "r-2", "", "of another process"),
            line("05", "r-1", "x", "refused"),
            line("06", "r-1", "", "the store answers again"));
    assertThat(run("x", file)).isEqualTo(ExitCode.OK);
    assertThat(out.toString(StandardCharsets.UTF_8))
        .containsSubsequence("refused", "state of r-1 before:", "the store fails for op")
        .doesNotContain("another process")
        .doesNotContain("answers again");
  }

  /**
   * Guards against an unknown request id, a missing file or missing arguments not being reported.
   */
  @Test
  void invalidArgumentsAreReported() throws IOException {
    assertThat(run("z", writeLog("a", line("01", "r-1", "x", "sent"))))
        .isEqualTo(ExitCode.NOT_FOUND);
    assertThat(run("z", directory.resolve("none"))).isEqualTo(ExitCode.USAGE);
    assertThat(run("z")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8))
        .contains("no line has the request id z")
        .contains("cannot be read")
        .contains("needs a request id");
  }

  /**
   * Runs the command.
   *
   * @param id the id of the request
   * @param files the log files
   * @return the exit code
   */
  private ExitCode run(String id, Path... files) {
    String[] args = new String[files.length + 2];
    args[0] = "explain";
    args[1] = id;
    for (int i = 0; i < files.length; i++) {
      args[i + 2] = files[i].toString();
    }
    return new AlmondslipMain(new PrintStream(out), new PrintStream(err)).run(args, Map.of());
  }

  /**
   * Writes a log file.
   *
   * @param name the name of the file
   * @param lines the lines
   * @return the path of the file
   * @throws IOException if the file cannot be written
   */
  private Path writeLog(String name, String... lines) throws IOException {
    return Files.write(directory.resolve(name), List.of(lines));
  }

  /**
   * Creates a line of a log.
   *
   * @param second the second of its time, with two digits
   * @param instance the name of the instance
   * @param request the id of the request, empty for none
   * @param message the message
   * @return the line, preceded by text of a log collector
   */
  private static String line(String second, String instance, String request, String message) {
    return ("12.5 " + instance + " {\"time\":\"2026-01-01T00:00:%sZ\",\"instance\":\"%s\",")
            .formatted(second, instance)
        + (request.isEmpty() ? "" : "\"request_id\":\"" + request + "\",")
        + "\"message\":\""
        + message
        + "\"}";
  }
}
