package org.almondslip.error;

import java.util.ArrayList;
import java.util.List;

/** Collects all findings in one input, so that they are reported together. */
public final class Findings {

  private final List<Finding> findings = new ArrayList<>();

  /**
   * Adds a finding.
   *
   * @param finding the finding
   */
  public void add(Finding finding) {
    findings.add(finding);
  }

  /**
   * Returns whether no finding was added.
   *
   * @return true if there are no findings
   */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /**
   * Returns all findings.
   *
   * @return an immutable copy of the findings in the order of their addition
   */
  public List<Finding> toList() {
    return List.copyOf(findings);
  }

  /**
   * Throws an exception with all findings if there are any.
   *
   * @param code the error code of the exception
   * @param subject the name of the checked input, for the message
   * @throws AlmondslipException if there is at least one finding
   */
  public void throwIfAny(ErrorCode code, String subject) {
    if (!findings.isEmpty()) {
      String detail =
          subject + " has " + findings.size() + " finding(s), first: " + findings.get(0);
      throw new AlmondslipException(code, detail, findings);
    }
  }
}
