package org.almondslip.cli;

import java.util.Arrays;

/** Exit codes of the command line; each keeps its number across releases. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "success"),
  /** An error without a code of its own. */
  FAILED(1, "any other error"),
  /** The arguments are wrong or a file cannot be read. */
  USAGE(2, "wrong arguments, unreadable file or missing operator key"),
  /** The ticket has findings. */
  INVALID(3, "the ticket has findings; nothing changed", "ticket-invalid"),
  /** An equal or higher ticket number is stored. */
  CONFLICT(4, "an equal or higher ticket number stands; nothing changed", "ticket-conflict"),
  /** The object does not exist. */
  NOT_FOUND(5, "the object does not exist", "not-found"),
  /** The operator key is wrong. */
  UNAUTHORIZED(6, "the operator key is wrong", "unauthorized"),
  /** The call surely had no effect. */
  UNAVAILABLE(
      7, "the router or the table service cannot be reached; nothing changed", "store-unavailable"),
  /** The call may have had an effect. */
  OUTCOME_UNKNOWN(
      8, "the ticket may have been applied; send it again to learn it", "outcome-unknown");

  /** Number that the process returns. */
  private final int number;

  /** Meaning, for the usage text. */
  private final String meaning;

  /** Code of the problem documents that lead here, empty when there is none. */
  private final String problem;

  /**
   * Creates a code without problem documents.
   *
   * @param number the number that the process returns
   * @param meaning the meaning, for the usage text
   */
  ExitCode(int number, String meaning) {
    this(number, meaning, "");
  }

  /**
   * Creates a code.
   *
   * @param number the number that the process returns
   * @param meaning the meaning, for the usage text
   * @param problem the code of the problem documents that lead here
   */
  ExitCode(int number, String meaning, String problem) {
    this.number = number;
    this.meaning = meaning;
    this.problem = problem;
  }

  /**
   * Returns the number that the process returns.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the meaning.
   *
   * @return one line for the usage text
   */
  public String meaning() {
    return meaning;
  }

  /**
   * Finds the exit code for a problem document.
   *
   * @param code the code of the document
   * @return the exit code
   */
  public static ExitCode ofProblem(String code) {
    return Arrays.stream(values())
        .filter(value -> !value.problem.isEmpty() && value.problem.equals(code))
        .findFirst()
        .orElse(FAILED);
  }
}
