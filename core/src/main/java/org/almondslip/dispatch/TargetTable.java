package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.almondslip.placement.TargetLoad;

/** Targets by service, and by the key that all routers share. */
final class TargetTable {

  /** Targets by service and id. */
  private final Map<String, Map<String, TargetLoad>> byService = new HashMap<>();

  /** Targets by key. */
  private final Map<Long, TargetLoad> byKey = new HashMap<>();

  /**
   * Adds a target.
   *
   * @param target the target
   */
  void add(TargetLoad target) {
    byService
        .computeIfAbsent(target.record().service(), service -> new HashMap<>())
        .put(target.record().id(), target);
    byKey.put(target.incarnationKey(), target);
  }

  /**
   * Removes a target.
   *
   * @param service the name of its service
   * @param id the id of the target
   */
  void remove(String service, String id) {
    Optional.ofNullable(byService.getOrDefault(service, new HashMap<>()).remove(id))
        .ifPresent(target -> byKey.remove(target.incarnationKey()));
  }

  /**
   * Finds a target.
   *
   * @param key the key that all routers share
   * @return the target
   */
  Optional<TargetLoad> find(long key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Returns the targets of a service.
   *
   * @param service the name of the service
   * @return the targets
   */
  Collection<TargetLoad> of(String service) {
    return byService.getOrDefault(service, Map.of()).values();
  }

  /**
   * Returns all targets.
   *
   * @return the targets
   */
  List<TargetLoad> all() {
    List<TargetLoad> all = new ArrayList<>();
    byService.values().forEach(map -> all.addAll(map.values()));
    return all;
  }

  /**
   * Returns the services that have had a target.
   *
   * @return their names
   */
  Set<String> services() {
    return byService.keySet();
  }
}
