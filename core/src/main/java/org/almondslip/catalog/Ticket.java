package org.almondslip.catalog;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * An operator's change of the catalog.
 *
 * @param number the number, which must be higher than the stored number of each touched object
 * @param author the operator
 * @param note the reason of the change
 * @param objects the complete new state of each touched object
 */
public record Ticket(long number, String author, String note, List<CatalogObject> objects) {

  /**
   * Copies the list.
   *
   * @param number the number
   * @param author the operator
   * @param note the reason of the change
   * @param objects the complete new state of each touched object
   */
  public Ticket {
    objects = List.copyOf(objects);
  }

  /**
   * Returns a ticket with other objects.
   *
   * @param newObjects the complete new state of each touched object
   * @return the new ticket
   */
  public Ticket withObjects(List<CatalogObject> newObjects) {
    return new Ticket(number, author, note, newObjects);
  }

  /**
   * Returns the touched objects whose stored number is not smaller than the ticket's.
   *
   * @param catalog the catalog
   * @return the objects as they stand
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
   * <p>It contains a hash of the objects, so that the same ticket sent again is recognised even
   * after a later ticket has replaced some of its objects.
   *
   * @return the key
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
