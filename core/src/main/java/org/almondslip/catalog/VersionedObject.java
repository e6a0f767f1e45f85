package org.almondslip.catalog;

/**
 * State of an object with the ticket that wrote it.
 *
 * @param object the state
 * @param number the number of the ticket that wrote it
 * @param revision the revision of the catalog that the ticket created
 */
public record VersionedObject(CatalogObject object, long number, long revision) {

  /**
   * Returns whether this state replaces another one of the same object.
   *
   * @param other the other state
   * @return true when this one has the higher ticket number
   */
  public boolean supersedes(VersionedObject other) {
    return number > other.number;
  }
}
