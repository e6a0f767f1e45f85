package org.almondslip.cli;

/** Failure that terminates the command with an exit code. */
final class CliException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode code;

  /**
   * Creates an exception.
   *
   * @param code the exit code of the process
   * @param message the description of the failure, which is printed
   */
  CliException(ExitCode code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Returns the exit code of the process.
   *
   * @return the code
   */
  ExitCode code() {
    return code;
  }
}
