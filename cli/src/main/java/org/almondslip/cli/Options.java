package org.almondslip.cli;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Options that are common to all commands. */
final class Options {

  /** Environment variable that contains the operator key. */
  static final String KEY_VARIABLE = "ALMONDSLIP_OPERATOR_KEY";

  @Parameter(
      names = "--admin",
      description = "Address of a router's admin interface, ip:port",
      order = 0)
  private String admin = "127.0.0.1:8090";

  @Parameter(
      names = "--key-file",
      description = "File with the operator key; default: variable " + KEY_VARIABLE,
      order = 1)
  private String keyFile = "";

  @Parameter(names = "--json", description = "Print the router's response as JSON", order = 2)
  private boolean json;

  @Parameter(names = "--help", description = "Show this help", help = true, order = 3)
  private boolean help;

  /**
   * Returns the address of the admin interface.
   *
   * @return the address as {@code ip:port}
   */
  String admin() {
    return admin;
  }

  /**
   * Returns whether to print the response as JSON.
   *
   * @return true if {@code --json} is given
   */
  boolean json() {
    return json;
  }

  /**
   * Returns whether only the usage is to be printed.
   *
   * @return true if {@code --help} is given
   */
  boolean help() {
    return help;
  }

  /**
   * Returns the operator key from the key file or, without one, from the environment. The key is
   * not passed as an argument, since arguments are visible to other users of the machine.
   *
   * @param environment the environment variables
   * @return the key
   * @throws CliException if the key is missing or the key file cannot be read
   */
  String key(Map<String, String> environment) {
    String key = environment.getOrDefault(KEY_VARIABLE, "");
    if (!keyFile.isEmpty()) {
      try {
        key = Files.readString(Path.of(keyFile)).strip();
      } catch (IOException e) {
        throw new CliException(ExitCode.USAGE, keyFile + " cannot be read");
      }
    }
    if (key.isEmpty()) {
      throw new CliException(
          ExitCode.USAGE, "an operator key is required: --key-file or " + KEY_VARIABLE);
    }
    return key;
  }
}
