package org.almondslip.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Data centres that the operator has evacuated, as known from the rows of the operator's table.
 *
 * <p>Addresses requests to targets that are about to lose power or links. The state never reverts:
 * a row whose revision is not higher than the known one is ignored. Without news the state stays as
 * it is, so an evacuation survives an outage of the store.
 */
public final class Evacuations {

  private final Set<String> evacuated = new TreeSet<>();

  /** Highest known revisions by data centre, including those of evacuations that have ended. */
  private final Map<String, Long> revisions = new HashMap<>();

  /**
   * Applies a row.
   *
   * @param dataCentre the data centre
   * @param present true if the row exists, false if it was deleted
   * @param revision the revision of the row
   * @return whether the data centre has become evacuated or is no longer evacuated
   */
  public boolean onRow(String dataCentre, boolean present, long revision) {
    if (revisions.getOrDefault(dataCentre, -1L) >= revision) {
      return false;
    }
    revisions.put(dataCentre, revision);
    return present ? evacuated.add(dataCentre) : evacuated.remove(dataCentre);
  }

  /**
   * Applies a complete list of rows. An evacuation that is missing from it and not newer has ended.
   *
   * @param listed the data centres that have a row
   * @param revision the revision of the list
   * @return the data centres that have become evacuated or are no longer evacuated
   */
  public Set<String> onListed(Set<String> listed, long revision) {
    Set<String> mentioned = new TreeSet<>(evacuated);
    mentioned.addAll(listed);
    Set<String> changed = new TreeSet<>();
    for (String dataCentre : mentioned) {
      boolean present = listed.contains(dataCentre);
      if (present != evacuated.contains(dataCentre) && onRow(dataCentre, present, revision)) {
        changed.add(dataCentre);
      }
    }
    return changed;
  }

  /**
   * Returns whether a data centre is evacuated.
   *
   * @param dataCentre the data centre
   * @return true while nothing may be sent to its targets
   */
  public boolean contains(String dataCentre) {
    return evacuated.contains(dataCentre);
  }

  /**
   * Returns the evacuated data centres.
   *
   * @return an immutable copy
   */
  public Set<String> dataCentres() {
    return Set.copyOf(evacuated);
  }
}
