package org.almondslip.process;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;

/** Command-line arguments of the long-running programs. */
final class Arguments {

  /** Settings file. */
  @Parameter(names = "--settings", description = "YAML settings file", required = true, order = 0)
  private String settings = "";

  /** Whether to validate the settings only. */
  @Parameter(names = "--check", description = "Check the settings and exit", order = 1)
  private boolean check;

  /** Whether to print the usage only. */
  @Parameter(names = "--help", description = "Show this help", help = true, order = 2)
  private boolean help;

  /**
   * Returns the settings file.
   *
   * @return its path
   */
  Path settings() {
    return Path.of(settings);
  }

  /**
   * Returns whether to validate the settings only.
   *
   * @return true for {@code --check}
   */
  boolean check() {
    return check;
  }

  /**
   * Returns whether to print the usage only.
   *
   * @return true for {@code --help}
   */
  boolean help() {
    return help;
  }
}
