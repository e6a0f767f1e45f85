package org.almondslip.cli;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Options of all commands. */
final class Options {

  /** Variable of the environment with the operator key. */
  static final String KEY_VARIABLE = "ALMONDSLIP_OPERATOR_KEY";

  /** Address of the router. */
  @Parameter(
      names = "--admin",
      description = "Address of a router's operators' interface, ip:port",
      order = 0)
  private String admin = "127.0.0.1:8090";

  /** File with the operator key. */
  @Parameter(
      names = "--key-file",
      description = "File with the operator key; default: variable " + KEY_VARIABLE,
      order = 1)
  private String keyFile = "";

  /** Whether to print the answer as JSON. */
  @Parameter(names = "--json", description = "Print the router's answer as JSON", order = 2)
  private boolean json;

  /** Whether to print the usage only. */
  @Parameter(names = "--help", description = "Show this help", help = true, order = 3)
  private boolean help;

  /**
   * Returns the address of the router.
   *
   * @return the address
   */
  String admin() {
    return admin;
  }

  /**
   * Returns whether to print the answer as JSON.
   *
   * @return true for {@code --json}
   */
  boolean json() {
    return json;
  }

  /**
   * Returns whether to print the usage only.
   *
   * @return true for {@code --help}
   */
  boolean help() {
    return help;
  }

  /**
   * Reads the operator key. It is no argument, since other users of a machine can see arguments.
   *
   * @param environment the variables of the environment
   * @return the key
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
