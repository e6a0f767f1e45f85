package org.almondslip.catalog;

import org.almondslip.error.Finding;

/** Place of a ticket's fields in the text from which it was read. */
@FunctionalInterface
public interface TicketSource {

  /** Index that stands for the ticket itself and not for one of its objects. */
  int TICKET = -1;

  /**
   * Creates a finding at a field.
   *
   * @param index the position of the object in the ticket, or {@link #TICKET}
   * @param field the name of the field
   * @param message what is wrong and what is expected
   * @return the finding
   */
  Finding finding(int index, String field, String message);

  /** Sources without a text. */
  enum NoOp implements TicketSource {
    /** A ticket that was built by a program. */
    INSTANCE;

    @Override
    public Finding finding(int index, String field, String message) {
      String path = index == TICKET ? field : "objects[" + index + "]." + field;
      return new Finding("ticket", 0, path, message);
    }
  }
}
