package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.almondslip.directory.Directory;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.EngineLimits;
import org.almondslip.placement.TargetLoad;

/** Applies changes of the directory to the dispatcher and to the connections to targets. */
final class DirectoryChanges implements Directory.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Dispatcher dispatcher;

  private final TargetConnectionPool connections;

  /** Maximum number of removed targets that are remembered, each with its cached segments. */
  private static final int MAX_REMOVED = 100;

  /**
   * Removed targets by incarnation key, the latest last. The entry of a live target may lapse and
   * return; what the target has said and what it runs still holds then.
   */
  private final Map<Long, TargetLoad> removed = new LinkedHashMap<>();

  /** Latest table, empty before the first one. */
  private Optional<RoutingTable> table = Optional.empty();

  DirectoryChanges(Dispatcher dispatcher, TargetConnectionPool connections) {
    this.dispatcher = dispatcher;
    this.connections = connections;
  }

  @Override
  public void onTable(RoutingTable next) {
    table = Optional.of(next);
    EngineLimits limits = dispatcher.onTable(next);
    logger.atInfo().log(
        "applied routing table version %d with %d routes; limits of engines: %s",
        next.version(), next.routeCount(), limits.byService());
  }

  @Override
  public void onTarget(TargetRecord target) {
    logger.atInfo().log(
        "target %s of service %s at %s:%d is %s",
        target.id(), target.service(), target.host(), target.port(), target.state());
    Optional<TargetLoad> known =
        dispatcher.targets(target.service()).stream()
            .filter(load -> load.record().id().equals(target.id()))
            .findFirst();
    if (known.isPresent()) {
      known.get().update(target);
    } else {
      dispatcher.add(recallOrCreate(target));
    }
  }

  @Override
  public void onRemoved(TargetRecord target) {
    logger.atInfo().log("target %s of service %s was removed", target.id(), target.service());
    dispatcher.remove(target.service(), target.id()).ifPresent(this::remember);
    connections.closeIdle(target);
  }

  /** Returns the load of a target whose entry has returned, or of a new target. */
  private TargetLoad recallOrCreate(TargetRecord target) {
    TargetLoad created = new TargetLoad(target, kvCapacityTokens(target.service()));
    TargetLoad known = removed.remove(created.incarnationKey());
    if (known == null || !known.record().isSameIncarnation(target)) {
      return created;
    }
    known.update(target);
    return known;
  }

  private void remember(TargetLoad target) {
    removed.put(target.incarnationKey(), target);
    if (removed.size() > MAX_REMOVED) {
      removed.remove(removed.keySet().iterator().next());
    }
  }

  /** Returns the KV cache capacity of an engine of a service in tokens, 0 when it is unknown. */
  private long kvCapacityTokens(String service) {
    return table
        .flatMap(known -> known.service(service))
        .map(ServicePolicy::kvCapacityTokens)
        .orElse(0L);
  }
}
