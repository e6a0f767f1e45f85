package org.almondslip.error;

import java.util.List;

/** Failure with a stable code and, for invalid input, the findings. */
public final class AlmondslipException extends RuntimeException {

  /** Version of the serialized form. */
  private static final long serialVersionUID = 1L;

  /** Code of the error. */
  private final ErrorCode code;

  /** Findings in the input, empty when the failure has another cause. */
  private final transient List<Finding> findings;

  /**
   * Creates an exception without findings.
   *
   * @param code the code of the error
   * @param detail what happened, in one sentence
   */
  public AlmondslipException(ErrorCode code, String detail) {
    this(code, detail, List.of());
  }

  /**
   * Creates an exception with findings.
   *
   * @param code the code of the error
   * @param detail what happened, in one sentence
   * @param findings the findings in the input
   */
  public AlmondslipException(ErrorCode code, String detail, List<Finding> findings) {
    super(detail);
    this.code = code;
    this.findings = List.copyOf(findings);
  }

  /**
   * Returns the code of the error.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns the findings in the input.
   *
   * @return the findings, empty when the failure has another cause
   */
  public List<Finding> findings() {
    return findings == null ? List.of() : findings;
  }
}
