package org.almondslip.http;

/** Signals that a server sent bytes that are no response. */
public final class InvalidResponseException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ResponseViolation violation;

  /**
   * Creates an exception.
   *
   * @param violation what the server sent
   */
  public InvalidResponseException(ResponseViolation violation) {
    super("the server sent " + violation.description());
    this.violation = violation;
  }

  /**
   * Returns what the server sent.
   *
   * @return the violation
   */
  public ResponseViolation violation() {
    return violation;
  }
}
