package org.almondslip.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Command that prints what all processes logged about a request, and what the processes involved
 * logged about their own state shortly before.
 */
@Parameters(commandDescription = "Show the log lines of a request, from the logs of all processes")
final class Explain {

  /**
   * Period before the first line about a request from which an instance's state lines are shown.
   */
  private static final Duration STATE_PERIOD = Duration.ofSeconds(10);

  /** Maximum number of state lines per instance; the last lines are the most relevant. */
  private static final int MAX_STATE_LINES = 12;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Id of the request, followed by the log files. */
  @Parameter(description = "REQUEST-ID FILE...", required = true)
  private List<String> arguments = new ArrayList<>();

  /**
   * Line of a log.
   *
   * @param time the wall-clock time of the process that wrote the line
   * @param instance the name of the instance
   * @param requestId the id of the request, empty for a line about the state of the process
   * @param message the message
   */
  private record LogLine(
      Instant time, String instance, Optional<String> requestId, String message) {

    /**
     * Returns the line to print.
     *
     * @return the time, the instance and the message
     */
    String text() {
      return time + "  " + instance + "  " + message;
    }
  }

  /**
   * Prints the lines.
   *
   * @param printer the printer to use
   * @return the exit code
   * @throws CliException if the arguments are invalid, a file cannot be read or no line is found
   */
  ExitCode run(Printer printer) {
    if (arguments.size() < 2) {
      throw new CliException(ExitCode.USAGE, "explain needs a request id and one file or more");
    }
    String id = arguments.get(0);
    List<LogLine> lines = new ArrayList<>();
    for (String file : arguments.subList(1, arguments.size())) {
      lines.addAll(readFile(file));
    }
    lines.sort(Comparator.comparing(LogLine::time));
    List<LogLine> requestLines =
        lines.stream().filter(line -> line.requestId().equals(Optional.of(id))).toList();
    if (requestLines.isEmpty()) {
      throw new CliException(ExitCode.NOT_FOUND, "no line has the request id " + id);
    }
    requestLines.forEach(line -> printer.line(line.text()));
    firstTimes(requestLines)
        .forEach(
            (instance, time) -> {
              printer.line("");
              printer.line("state of " + instance + " before:");
              stateBefore(lines, instance, time).forEach(line -> printer.line("  " + line.text()));
            });
    return ExitCode.OK;
  }

  /**
   * Returns the times of the first lines of the instances.
   *
   * @param requestLines the lines about the request, ordered by time
   * @return the times by the names of the instances
   */
  private static Map<String, Instant> firstTimes(List<LogLine> requestLines) {
    return requestLines.stream()
        .collect(
            Collectors.toMap(
                LogLine::instance, LogLine::time, (first, next) -> first, TreeMap::new));
  }

  /**
   * Returns the last state lines of an instance before a request.
   *
   * @param lines all lines, ordered by time
   * @param instance the name of the instance
   * @param until the time of the first line about the request
   * @return the lines, ordered by time
   */
  private static List<LogLine> stateBefore(List<LogLine> lines, String instance, Instant until) {
    List<LogLine> state =
        lines.stream()
            .filter(line -> line.instance().equals(instance) && line.requestId().isEmpty())
            .filter(line -> !line.time().isAfter(until))
            .filter(line -> line.time().isAfter(until.minus(STATE_PERIOD)))
            .toList();
    return state.subList(Math.max(0, state.size() - MAX_STATE_LINES), state.size());
  }

  /**
   * Reads a log file. Lines of other programs are ignored, and so is text before a JSON object,
   * which a log collector may have added.
   *
   * @param file the path of the file
   * @return the lines of the log
   */
  private static List<LogLine> readFile(String file) {
    try (Stream<String> lines = Files.lines(Path.of(file))) {
      return lines.map(Explain::parse).flatMap(Optional::stream).toList();
    } catch (IOException e) {
      throw new CliException(ExitCode.USAGE, file + " cannot be read: " + e.getMessage());
    }
  }

  /**
   * Parses a line.
   *
   * @param text the line
   * @return the parsed line, empty if it is not a log record of this project
   */
  private static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode json = MAPPER.readTree(text.substring(start));
      return Optional.of(
          new LogLine(
              Instant.parse(json.path("time").asText()),
              json.path("instance").asText(),
              Optional.of(json.path("request_id").asText()).filter(id -> !id.isEmpty()),
              json.path("message").asText()));
    } catch (JsonProcessingException | DateTimeException e) {
      // The file can contain lines of other programs.
      return Optional.empty();
    }
  }
}
