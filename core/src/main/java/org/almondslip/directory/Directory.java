package org.almondslip.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.time.Clock;

/**
 * What a process knows of routes and targets. State never goes back: a table or an entry with a
 * lower version or revision than the known one is ignored.
 */
public final class Directory {

  /**
   * Time after an outage of the store for which a removed target stays usable, in milliseconds.
   * Entries that lapse while the store is away are back within 2 s of its return.
   */
  static final long LAPSE_GRACE_MILLIS = 2_000;

  /** Source of time. */
  private final Clock clock;

  /** Receiver of changes. */
  private final Listener listener;

  /** Age of the routes and keys. */
  private final Freshness routesFreshness;

  /** Age of the list of targets. */
  private final Freshness targetsFreshness;

  /** Known table. */
  private Optional<RoutingTable> table = Optional.empty();

  /** Live targets by id. */
  private final Map<String, TargetRecord> targets = new HashMap<>();

  /** Revisions of all entries ever seen, removed ones included, by id. */
  private final Map<String, Long> revisions = new HashMap<>();

  /** Ids of removed targets that may only have lapsed, with the time of their removal. */
  private final Map<String, Long> lapsed = new HashMap<>();

  /** End of the last outage of the store, in milliseconds. */
  private long outageEnd = -LAPSE_GRACE_MILLIS;

  /** Whether a complete list of targets was read. */
  private boolean listed;

  /** Receiver of changes of the known state. */
  public interface Listener {

    /**
     * Called when a newer table is in force.
     *
     * @param table the table
     */
    void onTable(RoutingTable table);

    /**
     * Called when a target is new or has changed.
     *
     * @param target the target
     */
    void onTarget(TargetRecord target);

    /**
     * Called when a target has left.
     *
     * @param target the target
     */
    void onRemoved(TargetRecord target);
  }

  /**
   * Creates an empty directory.
   *
   * @param clock the source of time
   * @param listener the receiver of changes
   */
  public Directory(Clock clock, Listener listener) {
    this.clock = clock;
    this.listener = listener;
    this.routesFreshness = new Freshness(clock);
    this.targetsFreshness = new Freshness(clock);
  }

  /**
   * Returns the routes in force.
   *
   * @return the table, empty before the first one is read
   */
  public Optional<RoutingTable> table() {
    return table;
  }

  /**
   * Returns the age of the routes and keys.
   *
   * @return the age
   */
  public Freshness routesFreshness() {
    return routesFreshness;
  }

  /**
   * Returns the age of the list of targets.
   *
   * @return the age
   */
  public Freshness targetsFreshness() {
    return targetsFreshness;
  }

  /**
   * Returns whether routes and targets are known.
   *
   * @return true when requests can be placed
   */
  public boolean isComplete() {
    return table.isPresent() && listed;
  }

  /**
   * Returns the live targets.
   *
   * @return the targets
   */
  public List<TargetRecord> targets() {
    return List.copyOf(targets.values());
  }

  /** Notes that the store does not answer. */
  public void onOutage() {
    outageEnd = clock.millis();
  }

  /**
   * Takes a table.
   *
   * @param next the table
   * @return true when it is newer than the known one
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
   * Takes an entry of the list of targets.
   *
   * @param record the entry
   */
  public void onTarget(TargetRecord record) {
    if (!advance(record.id(), record.revision())) {
      return;
    }
    lapsed.remove(record.id());
    TargetRecord old = targets.put(record.id(), record);
    if (old != null && !old.sameIncarnation(record)) {
      listener.onRemoved(old);
    }
    if (!record.equals(old)) {
      listener.onTarget(record);
    }
  }

  /**
   * Takes the removal of an entry, or an entry that cannot be read.
   *
   * @param id the id of the target
   * @param revision the revision of the removal
   */
  public void onRemoved(String id, long revision) {
    if (!advance(id, revision) || !targets.containsKey(id)) {
      return;
    }
    if (clock.millis() - outageEnd < LAPSE_GRACE_MILLIS) {
      lapsed.putIfAbsent(id, clock.millis());
    } else {
      remove(id);
    }
  }

  /**
   * Takes the ids of a complete list; other targets that are not newer than the list have left.
   *
   * @param ids the ids of all entries
   * @param revision the revision of the list
   */
  public void onListed(Set<String> ids, long revision) {
    listed = true;
    for (String id : new ArrayList<>(targets.keySet())) {
      if (!ids.contains(id)) {
        onRemoved(id, revision);
      }
    }
  }

  /** Removes targets whose entries lapsed and did not come back. */
  public void tick() {
    long now = clock.millis();
    for (String id : new HashSet<>(lapsed.keySet())) {
      // The second condition ends the wait while the store fails again and again.
      if (now - outageEnd >= LAPSE_GRACE_MILLIS || now - lapsed.get(id) >= LAPSE_GRACE_MILLIS) {
        lapsed.remove(id);
        remove(id);
      }
    }
  }

  /**
   * Records the revision of an entry.
   *
   * @param id the id of the target
   * @param revision the revision
   * @return true when it is newer than the known one
   */
  private boolean advance(String id, long revision) {
    if (revisions.getOrDefault(id, -1L) >= revision) {
      return false;
    }
    revisions.put(id, revision);
    return true;
  }

  /**
   * Removes a target.
   *
   * @param id its id
   */
  private void remove(String id) {
    TargetRecord old = targets.remove(id);
    if (old != null) {
      listener.onRemoved(old);
    }
  }
}
