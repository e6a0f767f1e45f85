package org.almondslip.cli;

import java.util.Arrays;

/** Exit codes of the command line. The number of a code does not change between releases. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "success"),
  /** An error without a specific code. */
  FAILED(1, "any other error"),
  /** The arguments are invalid or a file cannot be read. */
  USAGE(2, "wrong arguments, unreadable file or missing operator key"),
  /** The ticket or the configuration has findings. */
  INVALID(3, "the ticket or configuration has findings; nothing changed", "ticket-invalid"),
  /** An equal or higher ticket number is stored. */
  CONFLICT(4, "an equal or higher ticket number is stored; nothing changed", "ticket-conflict"),
  /** The object does not exist. */
  NOT_FOUND(5, "the object does not exist", "not-found"),
  /** The operator key is wrong. */
  UNAUTHORIZED(6, "the operator key is wrong", "unauthorized"),
  /** The request had no effect. */
  UNAVAILABLE(
      7, "the router or the table service cannot be reached; nothing changed", "store-unavailable"),
  /** The request may have had an effect. */
  OUTCOME_UNKNOWN(
      8, "the ticket may have been applied; send it again to find out", "outcome-unknown");

  private final int number;

  private final String description;

  /** Code of the problem documents that result in this exit code, empty for none. */
  private final String problemCode;

  /**
   * Creates an exit code without a problem code.
   *
   * @param number the exit status of the process
   * @param description the description for the usage text
   */
  ExitCode(int number, String description) {
    this(number, description, "");
  }

  /**
   * Creates an exit code.
   *
   * @param number the exit status of the process
   * @param description the description for the usage text
   * @param problemCode the code of the problem documents that result in this exit code
   */
  ExitCode(int number, String description, String problemCode) {
    this.number = number;
    this.description = description;
    this.problemCode = problemCode;
  }

  /**
   * Returns the exit status of the process.
   *
   * @return the exit status
   */
  public int number() {
    return number;
  }

  /**
   * Returns the description for the usage text.
   *
   * @return one line of text
   */
  public String description() {
    return description;
  }

  /**
   * Returns the exit code for a problem document.
   *
   * @param code the code of the document
   * @return the exit code, {@link #FAILED} for an unknown code
   */
  public static ExitCode ofProblem(String code) {
    return Arrays.stream(values())
        .filter(value -> !value.problemCode.isEmpty() && value.problemCode.equals(code))
        .findFirst()
        .orElse(FAILED);
  }
}
