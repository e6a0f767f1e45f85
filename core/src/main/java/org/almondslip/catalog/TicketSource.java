package org.almondslip.catalog;

import org.almondslip.error.Finding;

/** Locates the fields of a ticket in the text from which it was parsed. */
@FunctionalInterface
public interface TicketSource {

  /** Index that denotes the ticket itself instead of one of its objects. */
  int TICKET = -1;

  /**
   * Creates a finding for a field.
   *
   * @param index the index of the object in the ticket, or {@link #TICKET}
   * @param field the name of the field
   * @param message the error and the expected value
   * @return the finding
   */
  Finding finding(int index, String field, String message);

  /** Source without a text. */
  enum NoOp implements TicketSource {
    /** Source of a ticket that was created programmatically. */
    INSTANCE;

    @Override
    public Finding finding(int index, String field, String message) {
      String path = index == TICKET ? field : "objects[" + index + "]." + field;
      return new Finding("ticket", 0, path, message);
    }
  }
}
