package org.almondslip.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A command: what it calls and how its answer is printed. */
interface Command {

  /**
   * Returns the call of the command.
   *
   * @return the call
   */
  AdminCall call();

  /**
   * Prints the answer to a successful call.
   *
   * @param answer the answer
   * @param printer prints tables
   */
  void print(JsonNode answer, Printer printer);

  /** Applies a ticket. */
  @Parameters(commandDescription = "Apply a ticket from a YAML or JSON file")
  final class Apply implements Command {

    /** File of the ticket. */
    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Override
    public AdminCall call() {
      return AdminCall.post("tickets?file=" + AdminCall.encode(file), read(file));
    }

    @Override
    public void print(JsonNode answer, Printer printer) {
      boolean repeated = answer.path("repeated").asBoolean();
      printer.line(
          (repeated ? "already applied with revision " : "applied with revision ")
              + answer.path("revision").asLong());
    }
  }

  /** Checks a ticket. */
  @Parameters(commandDescription = "Check a ticket without applying it")
  final class Validate implements Command {

    /** File of the ticket. */
    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Override
    public AdminCall call() {
      return AdminCall.post("tickets/validate?file=" + AdminCall.encode(file), read(file));
    }

    @Override
    public void print(JsonNode answer, Printer printer) {
      printer.line("no findings at revision " + answer.path("revision").asLong());
      if (!answer.path("standing").isEmpty()) {
        printer.line("would be refused, since an equal or higher number stands:");
        printer.table(answer.path("standing"), "kind", "name", "number", "revision", "object");
      }
    }
  }

  /** Shows objects. */
  @Parameters(commandDescription = "Show an object, or all objects of a kind")
  final class Show implements Command {

    /** Kind and, optionally, name. */
    @Parameter(description = "KIND [NAME]", required = true)
    private List<String> object = new ArrayList<>();

    @Override
    public AdminCall call() {
      if (object.size() > 2) {
        throw new CliException(ExitCode.USAGE, "show takes a kind and at most one name");
      }
      List<String> parts = object.stream().map(AdminCall::encode).toList();
      return AdminCall.get("objects/" + String.join("/", parts));
    }

    @Override
    public void print(JsonNode answer, Printer printer) {
      if (answer.has("objects")) {
        printer.table(answer.path("objects"), "name", "number", "revision", "object");
      } else {
        printer.fields(answer);
      }
    }
  }

  /** Shows the status of the router. */
  @Parameters(commandDescription = "Show the status of the router")
  final class Status implements Command {

    @Override
    public AdminCall call() {
      return AdminCall.get("status");
    }

    @Override
    public void print(JsonNode answer, Printer printer) {
      printer.fields(answer);
    }
  }

  /** Shows the audit entries. */
  @Parameters(commandDescription = "Show who changed what, the newest change first")
  final class Audit implements Command {

    /** Number of entries. */
    @Parameter(names = "--limit", description = "Number of entries")
    private int limit = 50;

    /** Revision below which entries are shown. */
    @Parameter(names = "--before", description = "Only revisions below this one")
    private long before = Long.MAX_VALUE;

    /** Kind of the objects. */
    @Parameter(names = "--kind", description = "Only objects of this kind")
    private String kind = "";

    /** Name of the objects. */
    @Parameter(names = "--name", description = "Only objects with this name")
    private String name = "";

    @Override
    public AdminCall call() {
      return AdminCall.get(
          "audit?limit=%d&before=%d&kind=%s&name=%s"
              .formatted(limit, before, AdminCall.encode(kind), AdminCall.encode(name)));
    }

    @Override
    public void print(JsonNode answer, Printer printer) {
      printer.table(
          answer.path("entries"),
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

  /**
   * Reads a file.
   *
   * @param file its path
   * @return its content
   */
  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CliException(ExitCode.USAGE, file + " cannot be read");
    }
  }
}
