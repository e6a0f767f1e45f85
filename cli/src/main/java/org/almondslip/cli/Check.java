package org.almondslip.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.almondslip.adapter.ConfigurationCheck;
import org.almondslip.adapter.ConfigurationDifference;
import org.almondslip.adapter.ConfigurationFinding;

/** Command that checks a configuration file before it is put in force. */
@Parameters(commandDescription = "Check a configuration of the fleet without a router")
final class Check {

  @Parameter(description = "FILE", required = true)
  private String file = "";

  @Parameter(names = "--against", description = "File with the configuration in force")
  private String against = "";

  /**
   * Prints findings and differences.
   *
   * @param printer the printer to use
   * @return the exit code; differences alone are no findings
   * @throws CliException if a file cannot be read
   */
  ExitCode run(Printer printer) {
    byte[] next = read(file);
    List<ConfigurationFinding> findings = parse(file, () -> ConfigurationCheck.check(next));
    findings.forEach(finding -> printer.line(finding.text(file)));
    boolean outdated = false;
    if (!against.isEmpty()) {
      byte[] inForce = read(against);
      parse(against, () -> ConfigurationCheck.check(inForce));
      parse(file, () -> ConfigurationDifference.of(inForce, next))
          .forEach(line -> printer.line("difference: " + line));
      outdated = parse(file, () -> ConfigurationDifference.isOutdated(inForce, next));
      if (outdated) {
        printer.line(file + ": version: error: is not above the version in force");
      }
    }
    if (findings.isEmpty() && !outdated) {
      printer.line("no findings");
      return ExitCode.OK;
    }
    return ExitCode.INVALID;
  }

  /** Reads a document. */
  private interface Reading<T> {
    T get() throws IOException;
  }

  private static <T> T parse(String name, Reading<T> reading) {
    try {
      return reading.get();
    } catch (IOException e) {
      String message = e.getMessage().lines().findFirst().orElse("");
      throw new CliException(ExitCode.USAGE, name + " cannot be read: " + message);
    }
  }

  private static byte[] read(String name) {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException e) {
      throw new CliException(ExitCode.USAGE, name + " cannot be read");
    }
  }
}
