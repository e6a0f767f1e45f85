package org.almondslip.bench.slopes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.Flow;
import org.almondslip.catalog.VersionedObject;

/**
 * Catalog of a fleet of a given size.
 *
 * @param organisations the number of organisations, each with a share and a key
 * @param pools the number of pools
 * @param targets the number of targets of all pools
 * @param reach the number of pools that each organisation may use
 */
record ScaleCatalog(int organisations, int pools, int targets, int reach) {

  /** Slots of each target, so many that no request of a measurement waits unless it should. */
  private static final int SLOTS = 64;

  /** Characters of a SHA-256 hash in hex. */
  private static final int HASH_CHARACTERS = 64;

  /**
   * Builds the catalog.
   *
   * @return the catalog at revision 1
   */
  Catalog toCatalog() {
    return Catalog.EMPTY.merge(objects(), 1);
  }

  /**
   * Builds the objects.
   *
   * @return the objects, written by ticket 1
   */
  List<VersionedObject> objects() {
    List<CatalogObject> objects = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      objects.add(new Target(target(i), pool(i), null, SLOTS, null, null, Collections.emptyList()));
    }
    for (int i = 0; i < organisations; i++) {
      int first = i;
      List<String> names = IntStream.range(0, reach).mapToObj(j -> pool(first + j)).toList();
      objects.add(new Organisation(organisation(i), names));
      objects.add(new Share(organisation(i), 1 + i % 3));
      String hash = String.format("%0" + HASH_CHARACTERS + "x", i);
      objects.add(new ApiKey("key-" + i, organisation(i), hash, false));
    }
    return objects.stream().map(object -> new VersionedObject(object, 1, 1)).toList();
  }

  /**
   * Returns the first flow of an organisation.
   *
   * @param i the number of the organisation
   * @return the flow
   */
  Flow flow(int i) {
    return Flow.of(organisation(i), pool(i), 1 + i % 3);
  }

  /**
   * Returns the name of an organisation.
   *
   * @param i its number
   * @return the name
   */
  String organisation(int i) {
    return "organisation-" + i;
  }

  /**
   * Returns the pool of a target or organisation.
   *
   * @param i the number of the target or organisation
   * @return the name
   */
  String pool(int i) {
    return "model-" + i % pools;
  }

  /**
   * Returns the name of a target.
   *
   * @param i its number
   * @return the name
   */
  String target(int i) {
    return "engine-" + i;
  }
}
