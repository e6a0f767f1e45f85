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
 * Collects what all processes logged about a request, and what the processes that took part logged
 * about their own state shortly before.
 */
@Parameters(commandDescription = "Show the log lines of a request, from the logs of all processes")
final class Explain {

  /** Time before the first line of a request whose lines about a process are shown. */
  private static final Duration STATE_TIME = Duration.ofSeconds(10);

  /** Lines about the state of a process that are shown; the last ones say most. */
  private static final int STATE_LINES = 12;

  /** Reader of log lines. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Id of the request, and the files. */
  @Parameter(description = "REQUEST-ID FILE...", required = true)
  private List<String> arguments = new ArrayList<>();

  /**
   * Line of a log.
   *
   * @param time the time of the process that wrote it
   * @param instance the instance
   * @param request the id of the request, empty when it is about the process
   * @param message the message
   */
  private record Line(Instant time, String instance, Optional<String> request, String message) {

    /**
     * Returns the text to print.
     *
     * @return time, instance and message
     */
    String text() {
      return time + "  " + instance + "  " + message;
    }
  }

  /**
   * Prints the lines.
   *
   * @param printer prints them
   * @return the exit code
   */
  ExitCode run(Printer printer) {
    if (arguments.size() < 2) {
      throw new CliException(ExitCode.USAGE, "explain needs a request id and one file or more");
    }
    String id = arguments.get(0);
    List<Line> lines = new ArrayList<>();
    for (String file : arguments.subList(1, arguments.size())) {
      lines.addAll(read(file));
    }
    lines.sort(Comparator.comparing(Line::time));
    List<Line> found =
        lines.stream().filter(line -> line.request().equals(Optional.of(id))).toList();
    if (found.isEmpty()) {
      throw new CliException(ExitCode.NOT_FOUND, "no line has the request id " + id);
    }
    found.forEach(line -> printer.line(line.text()));
    firstTimes(found)
        .forEach(
            (instance, time) -> {
              printer.line("");
              printer.line("state of " + instance + " before:");
              state(lines, instance, time).forEach(line -> printer.line("  " + line.text()));
            });
    return ExitCode.OK;
  }

  /**
   * Returns the first line of each instance.
   *
   * @param found the lines of the request in their order
   * @return the times of the first lines by the names of the instances
   */
  private static Map<String, Instant> firstTimes(List<Line> found) {
    return found.stream()
        .collect(
            Collectors.toMap(Line::instance, Line::time, (first, next) -> first, TreeMap::new));
  }

  /**
   * Returns what a process logged about itself.
   *
   * @param lines all lines in their order
   * @param instance the instance
   * @param until the time of the first line of the request
   * @return the last lines before that time
   */
  private static List<Line> state(List<Line> lines, String instance, Instant until) {
    List<Line> state =
        lines.stream()
            .filter(line -> line.instance().equals(instance) && line.request().isEmpty())
            .filter(line -> !line.time().isAfter(until))
            .filter(line -> line.time().isAfter(until.minus(STATE_TIME)))
            .toList();
    return state.subList(Math.max(0, state.size() - STATE_LINES), state.size());
  }

  /**
   * Reads a log. Lines of other programs, and text that a collector puts before a line, are passed
   * over.
   *
   * @param file the file
   * @return the lines
   */
  private static List<Line> read(String file) {
    try (Stream<String> lines = Files.lines(Path.of(file))) {
      return lines.map(Explain::parse).flatMap(Optional::stream).toList();
    } catch (IOException e) {
      throw new CliException(ExitCode.USAGE, file + " cannot be read: " + e.getMessage());
    }
  }

  /**
   * Decodes a line.
   *
   * @param text the line
   * @return the decoded line, empty when it is not one of this project's
   */
  private static Optional<Line> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode json = MAPPER.readTree(text.substring(start));
      return Optional.of(
          new Line(
              Instant.parse(json.path("time").asText()),
              json.path("instance").asText(),
              Optional.of(json.path("request_id").asText()).filter(id -> !id.isEmpty()),
              json.path("message").asText()));
    } catch (JsonProcessingException | DateTimeException e) {
      // Other programs write to the same files.
      return Optional.empty();
    }
  }
}
