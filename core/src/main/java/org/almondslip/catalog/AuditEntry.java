package org.almondslip.catalog;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Audit record of the change of one object by a ticket.
 *
 * @param revision the revision of the catalog that the ticket created
 * @param number the ticket number
 * @param author the name of the operator
 * @param note the reason for the change
 * @param at the time of the change in ISO 8601 format, UTC
 * @param kind the label of the kind of the object
 * @param name the name of the object
 * @param before the state before the change, null if the object is new
 * @param after the state after the change
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record AuditEntry(
    long revision,
    long number,
    String author,
    String note,
    String at,
    String kind,
    String name,
    JsonNode before,
    JsonNode after) {

  /**
   * Returns the state that the ticket wrote.
   *
   * @return the state, or empty if the kind is unknown to this release
   */
  Optional<VersionedObject> toState() {
    return Kind.ofLabel(kind)
        .map(known -> new VersionedObject(known.parse(after), number, revision));
  }
}
