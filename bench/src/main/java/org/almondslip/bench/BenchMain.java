package org.almondslip.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Entry point of the load and experiment tool. */
public final class BenchMain {

  /** Exit status for wrong arguments. */
  private static final int EXIT_USAGE = 2;

  /** Not instantiable. */
  private BenchMain() {}

  /**
   * Runs the program. The last line that it prints is the result as JSON.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    Map<Command.Action, Command> commands = new EnumMap<>(Command.Action.class);
    JCommander commander = JCommander.newBuilder().programName("almondslip-bench").build();
    for (Command.Action action : Command.Action.values()) {
      commands.put(action, new Command());
      commander.addCommand(labelOf(action), commands.get(action));
    }
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (commander.getParsedCommand() == null) {
      commander.usage();
      System.exit(EXIT_USAGE);
    }
    commands.forEach(
        (action, command) -> {
          if (labelOf(action).equals(commander.getParsedCommand())) {
            ObjectNode result = action.run(command);
            System.out.print(Table.of(result));
            System.out.println(result);
          }
        });
    System.exit(0);
  }

  /**
   * Returns the name of a subcommand.
   *
   * @param action what it does
   * @return the name
   */
  private static String labelOf(Command.Action action) {
    return action.name().toLowerCase(Locale.ROOT);
  }
}
