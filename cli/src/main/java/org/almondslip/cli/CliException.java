package org.almondslip.cli;

/** Failure that ends the command with an exit code. */
final class CliException extends RuntimeException {

  /** Version of the serialized form. */
  private static final long serialVersionUID = 1L;

  /** Exit code of the process. */
  private final ExitCode code;

  /**
   * Creates an exception.
   *
   * @param code the exit code of the process
   * @param message what failed
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
