package org.almondslip.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.residency.Evacuations;
import org.almondslip.time.Clock;

/**
 * Routing table and live targets as known to this process.
 *
 * <p>The state never reverts: a table whose version, or an entry whose revision, is not higher than
 * the known one is ignored.
 */
public final class Directory {

  /**
   * Time after a store outage during which removed targets remain usable, in milliseconds. Entries
   * that expire during an outage are registered again within 2 s of the store's recovery.
   */
  static final long EXPIRY_GRACE_MILLIS = 2_000;

  private final Clock clock;

  private final Listener listener;

  private final Freshness routesFreshness;

  private final Freshness targetsFreshness;

  private Optional<RoutingTable> table = Optional.empty();

  /** Live targets by id. */
  private final Map<String, TargetRecord> targets = new HashMap<>();

  /** Highest known revisions by target id, including those of removed targets. */
  private final Map<String, Long> revisions = new HashMap<>();

  /**
   * Time of removal, in milliseconds, of targets that are still usable because their entries may
   * only have expired during an outage, by target id.
   */
  private final Map<String, Long> expiring = new HashMap<>();

  private final Evacuations evacuations = new Evacuations();

  /** Time at which the store was last observed to be unavailable, in milliseconds. */
  private long lastOutageMillis = -EXPIRY_GRACE_MILLIS;

  /** Whether a complete list of targets has been received. */
  private boolean targetListReceived;

  /** Receives changes of the directory. */
  public interface Listener {

    /**
     * Called when a newer table has taken effect.
     *
     * @param table the table
     */
    void onTable(RoutingTable table);

    /**
     * Called when a target was added or changed.
     *
     * @param target the target
     */
    void onTarget(TargetRecord target);

    /**
     * Called when a target was removed or replaced by another incarnation.
     *
     * @param target the removed target
     */
    void onRemoved(TargetRecord target);

    /**
     * Called when a data centre was evacuated or its evacuation was taken back.
     *
     * @param dataCentre the data centre
     * @param evacuated whether nothing may be sent to its targets
     */
    default void onEvacuation(String dataCentre, boolean evacuated) {}
  }

  /**
   * Creates an empty directory.
   *
   * @param clock the source of time
   * @param listener the listener to notify of changes
   */
  public Directory(Clock clock, Listener listener) {
    this.clock = clock;
    this.listener = listener;
    this.routesFreshness = new Freshness(clock);
    this.targetsFreshness = new Freshness(clock);
  }

  /**
   * Returns the current routing table.
   *
   * @return the table, or empty if none has been received
   */
  public Optional<RoutingTable> table() {
    return table;
  }

  /**
   * Returns the freshness of the routes and API keys.
   *
   * @return the freshness, to be confirmed by the reader of the store
   */
  public Freshness routesFreshness() {
    return routesFreshness;
  }

  /**
   * Returns the freshness of the targets.
   *
   * @return the freshness, to be confirmed by the reader of the store
   */
  public Freshness targetsFreshness() {
    return targetsFreshness;
  }

  /**
   * Returns whether both the routing table and a complete list of targets are known.
   *
   * @return true if requests can be assigned to targets
   */
  public boolean isComplete() {
    return table.isPresent() && targetListReceived;
  }

  /**
   * Returns the live targets, including those whose entries may only have expired.
   *
   * @return an immutable copy of the targets
   */
  public List<TargetRecord> targets() {
    return List.copyOf(targets.values());
  }

  /** Records that the store is unavailable; called repeatedly during an outage. */
  public void onOutage() {
    lastOutageMillis = clock.millis();
  }

  /**
   * Applies a routing table.
   *
   * @param next the table
   * @return true if it has replaced the known one, false if it is not newer
   */
  public boolean onTable(RoutingTable next) {
    if (table.isPresent() && next.version() <= table.get().version()) {
      return false;
    }
    table = Optional.of(next);
    listener.onTable(next);
    return true;
  }

  /**
   * Applies an entry of the list of targets.
   *
   * @param record the entry
   */
  public void onTarget(TargetRecord record) {
    if (!advanceRevision(record.id(), record.revision())) {
      return;
    }
    expiring.remove(record.id());
    TargetRecord old = targets.put(record.id(), record);
    if (old != null && !old.isSameIncarnation(record)) {
      listener.onRemoved(old);
    }
    if (!record.equals(old)) {
      listener.onTarget(record);
    }
  }

  /**
   * Applies the removal of an entry. Also called for an entry that cannot be decoded.
   *
   * @param id the id of the target
   * @param revision the revision of the removal
   */
  public void onRemoved(String id, long revision) {
    if (!advanceRevision(id, revision) || !targets.containsKey(id)) {
      return;
    }
    if (clock.millis() - lastOutageMillis < EXPIRY_GRACE_MILLIS) {
      expiring.putIfAbsent(id, clock.millis());
    } else {
      remove(id);
    }
  }

  /**
   * Applies a complete list of targets. Known targets that are missing from the list and not newer
   * than it are removed.
   *
   * @param ids the ids of all listed targets
   * @param revision the revision of the list
   */
  public void onListed(Set<String> ids, long revision) {
    targetListReceived = true;
    for (String id : new ArrayList<>(targets.keySet())) {
      if (!ids.contains(id)) {
        onRemoved(id, revision);
      }
    }
  }

  /**
   * Applies a row about the evacuation of a data centre.
   *
   * @param dataCentre the data centre
   * @param present true if the row exists, false if it was deleted
   * @param revision the revision of the row
   */
  public void onEvacuation(String dataCentre, boolean present, long revision) {
    if (evacuations.onRow(dataCentre, present, revision)) {
      listener.onEvacuation(dataCentre, present);
    }
  }

  /**
   * Applies the complete list of evacuated data centres. Known evacuations that are missing from it
   * and not newer than it have ended.
   *
   * @param listed the evacuated data centres
   * @param revision the revision of the list
   */
  public void onEvacuationsListed(Set<String> listed, long revision) {
    for (String dataCentre : evacuations.onListed(listed, revision)) {
      listener.onEvacuation(dataCentre, evacuations.contains(dataCentre));
    }
  }

  /**
   * Returns the evacuated data centres.
   *
   * @return an immutable copy
   */
  public Set<String> evacuatedDataCentres() {
    return evacuations.dataCentres();
  }

  /** Removes targets whose entries expired and were not registered again in time. */
  public void tick() {
    long now = clock.millis();
    for (String id : new HashSet<>(expiring.keySet())) {
      // The second condition limits the grace period if the store keeps failing.
      if (now - lastOutageMillis >= EXPIRY_GRACE_MILLIS
          || now - expiring.get(id) >= EXPIRY_GRACE_MILLIS) {
        expiring.remove(id);
        remove(id);
      }
    }
  }

  /** Records the revision of an entry and returns whether it is newer than the known one. */
  private boolean advanceRevision(String id, long revision) {
    if (revisions.getOrDefault(id, -1L) >= revision) {
      return false;
    }
    revisions.put(id, revision);
    return true;
  }

  private void remove(String id) {
    TargetRecord old = targets.remove(id);
    if (old != null) {
      listener.onRemoved(old);
    }
  }
}
