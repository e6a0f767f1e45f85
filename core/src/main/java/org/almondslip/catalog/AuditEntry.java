package org.almondslip.catalog;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Record of the change of one object by a ticket.
 *
 * @param revision the revision of the catalog that the ticket created
 * @param number the number of the ticket
 * @param author the operator
 * @param note the reason of the change
 * @param at the time of the change, ISO 8601
 * @param kind the kind of the object
 * @param name the name of the object
 * @param before the state before, null when the object is new
 * @param after the state after
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
   * @return the state, or empty when the kind is not known to this release
   */
  Optional<VersionedObject> toState() {
    return Kind.ofLabel(kind)
        .map(known -> new VersionedObject(known.parse(after), number, revision));
  }
}
