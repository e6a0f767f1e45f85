package org.almondslip.process;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;

/** Command-line arguments of the long-running programs. */
final class Arguments {

  @Parameter(names = "--settings", description = "YAML settings file", required = true, order = 0)
  private String settings = "";

  @Parameter(names = "--check", description = "Check the settings and exit", order = 1)
  private boolean check;

  @Parameter(names = "--help", description = "Show this help", help = true, order = 2)
  private boolean help;

  /**
   * Returns the path of the settings file.
   *
   * @return the path
   */
  Path settings() {
    return Path.of(settings);
  }

  /**
   * Returns whether only the settings are to be validated.
   *
   * @return true if {@code --check} is given
   */
  boolean check() {
    return check;
  }

  /**
   * Returns whether only the usage is to be printed.
   *
   * @return true if {@code --help} is given
   */
  boolean help() {
    return help;
  }
}
