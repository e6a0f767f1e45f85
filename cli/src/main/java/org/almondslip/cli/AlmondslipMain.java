package org.almondslip.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Entry point of the operators' command line. */
public final class AlmondslipMain {

  /** Options of all commands. */
  private final Options options = new Options();

  /** Commands by their names. */
  private final Map<String, Command> commands = new LinkedHashMap<>();

  /** Command that reads logs and calls no router. */
  private final Explain explain = new Explain();

  /** Parser of the arguments. */
  private final JCommander parser =
      JCommander.newBuilder().programName("almondslip").addObject(options).build();

  /** Where results are printed. */
  private final PrintStream out;

  /** Where errors are printed. */
  private final PrintStream err;

  /**
   * Creates the program.
   *
   * @param out where results are printed
   * @param err where errors are printed
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
  }

  /**
   * Runs the program.
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
   * @param environment the variables of the environment
   * @return the exit code
   */
  ExitCode run(String[] args, Map<String, String> environment) {
    try {
      parser.parse(args);
      if (options.help() || parser.getParsedCommand() == null) {
        usage();
        return options.help() ? ExitCode.OK : ExitCode.USAGE;
      }
      if (parser.getParsedCommand().equals("explain")) {
        return explain.run(new Printer(out));
      }
      return call(commands.get(parser.getParsedCommand()), environment);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (CliException e) {
      err.println(e.getMessage());
      return e.code();
    }
  }

  /**
   * Calls the router and prints its answer.
   *
   * @param command the command
   * @param environment the variables of the environment
   * @return the exit code
   */
  private ExitCode call(Command command, Map<String, String> environment) {
    AdminClient client = new AdminClient(options.admin(), options.key(environment));
    AdminClient.Answer answer = client.send(command.call());
    if (options.json()) {
      out.println(answer.document().toPrettyString());
    } else if (answer.failed()) {
      printProblem(answer.document());
    } else {
      command.print(answer.document(), new Printer(out));
    }
    return answer.failed()
        ? ExitCode.ofProblem(answer.document().path("code").asText())
        : ExitCode.OK;
  }

  /**
   * Prints a problem document.
   *
   * @param problem the document
   */
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

  /** Prints the usage with the exit codes. */
  private void usage() {
    StringBuilder text = new StringBuilder();
    parser.getUsageFormatter().usage(text);
    text.append("  Exit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("    ").append(code.number()).append("  ").append(code.meaning()).append('\n');
    }
    out.print(text);
  }
}
