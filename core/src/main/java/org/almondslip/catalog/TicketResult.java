package org.almondslip.catalog;

import java.util.List;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Finding;

/** Outcome of the application of a ticket. */
public sealed interface TicketResult {

  /**
   * The ticket has been applied.
   *
   * @param revision the revision of the catalog that the ticket created
   * @param repeated whether the ticket had already been applied by an earlier call
   */
  record Applied(long revision, boolean repeated) implements TicketResult {}

  /**
   * The ticket has been rejected because its number is not higher than a stored one.
   *
   * @param conflictingObjects the stored states of the affected objects whose ticket number is
   *     equal or higher
   */
  record Conflict(List<VersionedObject> conflictingObjects) implements TicketResult {

    /**
     * Copies the list.
     *
     * @param conflictingObjects the stored states of the affected objects whose ticket number is
     *     equal or higher
     */
    public Conflict {
      conflictingObjects = List.copyOf(conflictingObjects);
    }
  }

  /**
   * The ticket has been rejected because its validation failed.
   *
   * @param findings the validation errors
   */
  record Invalid(List<Finding> findings) implements TicketResult {

    /**
     * Copies the list.
     *
     * @param findings the validation errors
     */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }

  /**
   * The ticket could not be applied in time, or too many tickets were in progress.
   *
   * @param code {@link ErrorCode#OUTCOME_UNKNOWN} if the ticket may have been applied; with any
   *     other code it has not been applied
   * @param detail the reason for the failure
   */
  record Failed(ErrorCode code, String detail) implements TicketResult {}
}
