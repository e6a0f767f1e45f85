package org.almondslip.catalog;

/**
 * State of a catalog object with the ticket number and revision of its last change.
 *
 * @param object the state of the object
 * @param number the number of the ticket that wrote it
 * @param revision the revision of the catalog that the ticket created
 */
public record VersionedObject(CatalogObject object, long number, long revision) {

  /**
   * Returns whether this state supersedes another state of the same object.
   *
   * @param other the other state
   * @return true if this state has the higher ticket number
   */
  public boolean supersedes(VersionedObject other) {
    return number > other.number;
  }
}
