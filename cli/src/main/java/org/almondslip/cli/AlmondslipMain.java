package org.almondslip.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Entry point of the command line for operators. */
public final class AlmondslipMain {

  private final Options options = new Options();

  /** Commands that send a request to a router, by name. */
  private final Map<String, Command> commands = new LinkedHashMap<>();

  /** Command that reads log files and sends no request. */
  private final Explain explain = new Explain();

  /** Command that reads configuration files and sends no request. */
  private final Check check = new Check();

  private final JCommander parser =
      JCommander.newBuilder().programName("almondslip").addObject(options).build();

  private final PrintStream out;

  private final PrintStream err;

  /**
   * Creates the program.
   *
   * @param out the stream for results
   * @param err the stream for errors
   */
  AlmondslipMain(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
    commands.put("apply", new Command.Apply());
    commands.put("validate", new Command.Validate());
    commands.put("show", new Command.Show());
    commands.put("status", new Command.Status());
    commands.put("audit", new Command.Audit());
    commands.forEach(parser::addCommand);
    parser.addCommand("explain", explain);
    parser.addCommand("check", check);
  }

  /**
   * Runs the program and exits the process.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(new AlmondslipMain(System.out, System.err).run(args, System.getenv()).number());
  }

  /**
   * Runs one command.
   *
   * @param args the command-line arguments
   * @param environment the environment variables
   * @return the exit code
   */
  ExitCode run(String[] args, Map<String, String> environment) {
    try {
      parser.parse(args);
      if (options.help() || parser.getParsedCommand() == null) {
        printUsage();
        return options.help() ? ExitCode.OK : ExitCode.USAGE;
      }
      if (parser.getParsedCommand().equals("explain")) {
        return explain.run(new Printer(out));
      }
      if (parser.getParsedCommand().equals("check")) {
        return check.run(new Printer(out));
      }
      return execute(commands.get(parser.getParsedCommand()), environment);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (CliException e) {
      err.println(e.getMessage());
      return e.code();
    }
  }

  /** Sends the request of a command and prints the response. */
  private ExitCode execute(Command command, Map<String, String> environment) {
    AdminClient client = new AdminClient(options.admin(), options.key(environment));
    AdminClient.Response response = client.send(command.request());
    if (options.json()) {
      out.println(response.document().toPrettyString());
    } else if (response.failed()) {
      printProblem(response.document());
    } else {
      command.print(response.document(), new Printer(out));
    }
    return response.failed()
        ? ExitCode.ofProblem(response.document().path("code").asText())
        : ExitCode.OK;
  }

  private void printProblem(JsonNode problem) {
    err.println(problem.path("title").asText() + ": " + problem.path("detail").asText());
    for (JsonNode finding : problem.path("findings")) {
      err.printf(
          "%s:%d: %s: %s%n",
          finding.path("file").asText(),
          finding.path("line").asInt(),
          finding.path("field").asText(),
          finding.path("message").asText());
    }
    if (problem.has("standing")) {
      new Printer(err)
          .table(problem.path("standing"), "kind", "name", "number", "revision", "object");
    }
  }

  /** Prints the usage and the exit codes. */
  private void printUsage() {
    StringBuilder text = new StringBuilder();
    parser.getUsageFormatter().usage(text);
    text.append("  Exit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("    ")
          .append(code.number())
          .append("  ")
          .append(code.description())
          .append('\n');
    }
    out.print(text);
  }
}
