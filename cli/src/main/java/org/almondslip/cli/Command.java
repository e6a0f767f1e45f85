package org.almondslip.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Command that sends one request to a router. */
interface Command {

  /**
   * Creates the request of the command.
   *
   * @return the request
   * @throws CliException if the arguments are invalid or a file cannot be read
   */
  AdminRequest request();

  /**
   * Prints the response to a successful request.
   *
   * @param response the JSON document of the response
   * @param printer the printer to use
   */
  void print(JsonNode response, Printer printer);

  /** Applies a ticket. */
  @Parameters(commandDescription = "Apply a ticket from a YAML or JSON file")
  final class Apply implements Command {

    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Override
    public AdminRequest request() {
      return AdminRequest.post("tickets?file=" + AdminRequest.encode(file), readFile(file));
    }

    @Override
    public void print(JsonNode response, Printer printer) {
      boolean repeated = response.path("repeated").asBoolean();
      printer.line(
          (repeated ? "already applied with revision " : "applied with revision ")
              + response.path("revision").asLong());
    }
  }

  /** Validates a ticket. */
  @Parameters(commandDescription = "Check a ticket without applying it")
  final class Validate implements Command {

    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Override
    public AdminRequest request() {
      return AdminRequest.post(
          "tickets/validate?file=" + AdminRequest.encode(file), readFile(file));
    }

    @Override
    public void print(JsonNode response, Printer printer) {
      printer.line("no findings at revision " + response.path("revision").asLong());
      if (!response.path("standing").isEmpty()) {
        printer.line("would be refused, since an equal or higher number is stored:");
        printer.table(response.path("standing"), "kind", "name", "number", "revision", "object");
      }
    }
  }

  /** Shows catalog objects. */
  @Parameters(commandDescription = "Show an object, or all objects of a kind")
  final class Show implements Command {

    /** Kind, optionally followed by a name. */
    @Parameter(description = "KIND [NAME]", required = true)
    private List<String> object = new ArrayList<>();

    @Override
    public AdminRequest request() {
      if (object.size() > 2) {
        throw new CliException(ExitCode.USAGE, "show takes a kind and at most one name");
      }
      List<String> parts = object.stream().map(AdminRequest::encode).toList();
      return AdminRequest.get("objects/" + String.join("/", parts));
    }

    @Override
    public void print(JsonNode response, Printer printer) {
      if (response.has("objects")) {
        printer.table(response.path("objects"), "name", "number", "revision", "object");
      } else {
        printer.fields(response);
      }
    }
  }

  /** Shows the status of the router. */
  @Parameters(commandDescription = "Show the status of the router")
  final class Status implements Command {

    @Override
    public AdminRequest request() {
      return AdminRequest.get("status");
    }

    @Override
    public void print(JsonNode response, Printer printer) {
      printer.fields(response);
    }
  }

  /** Shows the audit entries. */
  @Parameters(commandDescription = "Show who changed what, the newest change first")
  final class Audit implements Command {

    @Parameter(names = "--limit", description = "Number of entries")
    private int limit = 50;

    /** Exclusive upper bound of the revisions. */
    @Parameter(names = "--before", description = "Only revisions below this one")
    private long before = Long.MAX_VALUE;

    @Parameter(names = "--kind", description = "Only objects of this kind")
    private String kind = "";

    @Parameter(names = "--name", description = "Only objects with this name")
    private String name = "";

    @Override
    public AdminRequest request() {
      return AdminRequest.get(
          "audit?limit=%d&before=%d&kind=%s&name=%s"
              .formatted(limit, before, AdminRequest.encode(kind), AdminRequest.encode(name)));
    }

    @Override
    public void print(JsonNode response, Printer printer) {
      printer.table(
          response.path("entries"),
          "revision",
          "number",
          "at",
          "author",
          "kind",
          "name",
          "before",
          "after",
          "note");
    }
  }

  private static String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CliException(ExitCode.USAGE, file + " cannot be read");
    }
  }
}
