package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.placement.ServiceSpeed;
import org.almondslip.placement.TargetLoad;

/** Targets indexed by service and id, and by incarnation key. */
final class TargetTable {

  /** Targets by service and id. */
  private final Map<String, Map<String, TargetLoad>> byService = new HashMap<>();

  /** Targets by incarnation key. */
  private final Map<Long, TargetLoad> byKey = new HashMap<>();

  /** Speeds of the targets by service. */
  private final Map<String, ServiceSpeed> speeds = new HashMap<>();

  /**
   * Adds a target.
   *
   * @param target the target
   */
  void add(TargetLoad target) {
    String service = target.record().service();
    TargetLoad replaced =
        byService
            .computeIfAbsent(service, key -> new HashMap<>())
            .put(target.record().id(), target);
    if (replaced != null) {
      replaced.speed().leave();
    }
    target.speed().join(speeds.computeIfAbsent(service, key -> new ServiceSpeed()));
    byKey.put(target.incarnationKey(), target);
  }

  /**
   * Removes a target if it is known.
   *
   * @param service the service of the target
   * @param id the id of the target
   * @return the target, empty if it is unknown
   */
  Optional<TargetLoad> remove(String service, String id) {
    Optional<TargetLoad> removed =
        Optional.ofNullable(byService.getOrDefault(service, new HashMap<>()).remove(id));
    removed.ifPresent(target -> byKey.remove(target.incarnationKey()));
    removed.ifPresent(target -> target.speed().leave());
    return removed;
  }

  /**
   * Finds a target by its incarnation key.
   *
   * @param key the incarnation key
   * @return the target, empty if it is unknown
   */
  Optional<TargetLoad> find(long key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the name of the service
   * @return the targets, empty if the service is unknown
   */
  Collection<TargetLoad> of(String service) {
    return byService.getOrDefault(service, Map.of()).values();
  }

  /** Returns a new list of the targets of all services. */
  List<TargetLoad> all() {
    List<TargetLoad> all = new ArrayList<>();
    byService.values().forEach(map -> all.addAll(map.values()));
    return all;
  }

  /** Returns the names of the services that have had a target. */
  Set<String> services() {
    return byService.keySet();
  }
}
