package org.almondslip.catalog;

import java.util.List;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Finding;

/** Outcome of applying a ticket. */
public sealed interface TicketResult {

  /**
   * The ticket has been applied.
   *
   * @param revision the revision of the catalog that it created
   * @param repeated whether it had been applied before this call
   */
  record Applied(long revision, boolean repeated) implements TicketResult {}

  /**
   * The ticket has been refused because its number is not above the stored one.
   *
   * @param conflictingObjects the touched objects whose stored number is not smaller, as they stand
   */
  record Conflict(List<VersionedObject> conflictingObjects) implements TicketResult {

    /**
     * Copies the list.
     *
     * @param conflictingObjects the touched objects whose stored number is not smaller, as they
     *     stand
     */
    public Conflict {
      conflictingObjects = List.copyOf(conflictingObjects);
    }
  }

  /**
   * The ticket has been refused because it has findings.
   *
   * @param findings the findings
   */
  record Invalid(List<Finding> findings) implements TicketResult {

    /**
     * Copies the list.
     *
     * @param findings the findings
     */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }

  /**
   * The table service gave no answer in time.
   *
   * @param code whether the ticket is surely not applied, or its outcome is unknown
   * @param detail what failed
   */
  record Failed(ErrorCode code, String detail) implements TicketResult {}
}
