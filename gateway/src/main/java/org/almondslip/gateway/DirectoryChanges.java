package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.almondslip.directory.Directory;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.placement.TargetLoad;

/** Applies changes of the directory to the dispatcher and to the connections to targets. */
final class DirectoryChanges implements Directory.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Dispatcher dispatcher;

  private final TargetConnectionPool connections;

  /** Latest table, empty before the first one. */
  private Optional<RoutingTable> table = Optional.empty();

  DirectoryChanges(Dispatcher dispatcher, TargetConnectionPool connections) {
    this.dispatcher = dispatcher;
    this.connections = connections;
  }

  @Override
  public void onTable(RoutingTable next) {
    table = Optional.of(next);
    logger.atInfo().log(
        "applied routing table version %d with %d routes", next.version(), next.routeCount());
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
      dispatcher.add(new TargetLoad(target, kvCapacityTokens(target.service())));
    }
  }

  @Override
  public void onRemoved(TargetRecord target) {
    logger.atInfo().log("target %s of service %s was removed", target.id(), target.service());
    dispatcher.remove(target.service(), target.id());
    connections.closeIdle(target);
  }

  /** Returns the KV cache capacity of an engine of a service in tokens, 0 when it is unknown. */
  private long kvCapacityTokens(String service) {
    return table
        .flatMap(known -> known.service(service))
        .map(ServicePolicy::kvCapacityTokens)
        .orElse(0L);
  }
}
