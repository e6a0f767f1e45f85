package org.almondslip.error;

import java.util.List;

/** Exception with a stable error code and, for invalid input, the findings. */
public final class AlmondslipException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /** Findings in the input, empty if the failure has another cause, null after deserialization. */
  private final transient List<Finding> findings;

  /**
   * Creates an exception without findings.
   *
   * @param code the error code
   * @param detail the description of the failure, in one sentence
   */
  public AlmondslipException(ErrorCode code, String detail) {
    this(code, detail, List.of());
  }

  /**
   * Creates an exception with findings.
   *
   * @param code the error code
   * @param detail the description of the failure, in one sentence
   * @param findings the findings in the input
   */
  public AlmondslipException(ErrorCode code, String detail, List<Finding> findings) {
    super(detail);
    this.code = code;
    this.findings = List.copyOf(findings);
  }

  /**
   * Returns the error code.
   *
   * @return the error code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns the findings in the input.
   *
   * @return the findings, empty if the failure has another cause; never null
   */
  public List<Finding> findings() {
    return findings == null ? List.of() : findings;
  }
}
