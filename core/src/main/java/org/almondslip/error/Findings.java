package org.almondslip.error;

import java.util.ArrayList;
import java.util.List;

/** Collects the findings in one input so that they are reported together. */
public final class Findings {

  /** Findings in the order in which they were added. */
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
   * Returns whether nothing was found.
   *
   * @return true when there is no finding
   */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /**
   * Returns all findings.
   *
   * @return the findings in the order in which they were added
   */
  public List<Finding> toList() {
    return List.copyOf(findings);
  }

  /**
   * Throws an exception that carries all findings if there are any.
   *
   * @param code the code of the exception
   * @param subject what was checked, for the message
   */
  public void throwIfAny(ErrorCode code, String subject) {
    if (!findings.isEmpty()) {
      String detail =
          subject + " has " + findings.size() + " finding(s), first: " + findings.get(0);
      throw new AlmondslipException(code, detail, findings);
    }
  }
}
