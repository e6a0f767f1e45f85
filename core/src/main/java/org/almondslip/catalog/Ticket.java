package org.almondslip.catalog;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Change request for catalog objects, submitted by an operator.
 *
 * @param number the ticket number, which must be higher than the stored number of each object
 * @param author the name of the operator
 * @param note the reason for the change, may be empty
 * @param objects the complete new state of each affected object
 */
public record Ticket(long number, String author, String note, List<CatalogObject> objects) {

  /**
   * Copies the list.
   *
   * @param number the ticket number
   * @param author the name of the operator
   * @param note the reason for the change
   * @param objects the complete new state of each affected object
   */
  public Ticket {
    objects = List.copyOf(objects);
  }

  /**
   * Returns a copy of the ticket with other objects.
   *
   * @param newObjects the complete new state of each affected object
   * @return the new ticket
   */
  public Ticket withObjects(List<CatalogObject> newObjects) {
    return new Ticket(number, author, note, newObjects);
  }

  /**
   * Returns the affected objects whose stored ticket number is equal to or higher than this one.
   *
   * @param catalog the catalog to compare with
   * @return the stored states of these objects, empty if the ticket may be applied
   */
  public List<VersionedObject> conflictingObjects(Catalog catalog) {
    return objects.stream()
        .flatMap(object -> catalog.object(object.kind(), object.name()).stream())
        .filter(state -> state.number() >= number)
        .toList();
  }

  /**
   * Returns the key of the row that records the ticket once it has been applied.
   *
   * <p>The key contains a hash of the objects, so that a resubmitted ticket is recognised even
   * after a later ticket has replaced some of its objects.
   *
   * @return the ticket number and the hash, separated by a slash
   */
  String recordKey() {
    String content =
        objects.stream()
            .map(object -> object.key() + " " + Kind.toJson(object))
            .sorted()
            .collect(Collectors.joining("\n"));
    return number + "/" + DigestUtils.sha256Hex(content.getBytes(StandardCharsets.UTF_8));
  }
}
