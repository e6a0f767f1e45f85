package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.almondslip.directory.Directory;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.pace.FleetPace;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/** Applies changes of the directory to the dispatcher and to the connections to targets. */
final class DirectoryChanges implements Directory.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Dispatcher dispatcher;

  private final TargetConnectionPool connections;

  private final FleetPace fleetPace;

  private final Clock clock;

  /** Whether the directory is complete. */
  private final BooleanSupplier complete;

  /** Maximum number of removed targets that are remembered, each with its cached segments. */
  private static final int MAX_REMOVED = 100;

  /**
   * Removed targets by incarnation key, the latest last. The entry of a live target may lapse and
   * return; what the target has said and what it runs still holds then.
   */
  private final Map<Long, TargetLoad> removed = new LinkedHashMap<>();

  /** Latest table, empty before the first one. */
  private Optional<RoutingTable> table = Optional.empty();

  private final Set<String> evacuatedDataCentres = new HashSet<>();

  /** Time at which the last evacuation was taken back, in milliseconds, by data centre. */
  private final Map<String, Long> evacuationEnds = new HashMap<>();

  /**
   * Creates a receiver of changes.
   *
   * @param clock the source of time
   * @param dispatcher the dispatcher
   * @param connections the connections to targets
   * @param fleetPace the pace of targets
   * @param complete whether the directory is complete; a target that appears then has just started
   */
  DirectoryChanges(
      Clock clock,
      Dispatcher dispatcher,
      TargetConnectionPool connections,
      FleetPace fleetPace,
      BooleanSupplier complete) {
    this.dispatcher = dispatcher;
    this.connections = connections;
    this.fleetPace = fleetPace;
    this.clock = clock;
    this.complete = complete;
  }

  @Override
  public void onTable(RoutingTable next) {
    table = Optional.of(next);
    fleetPace.onTable(next);
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
      applyEvacuation(known.get());
      known.get().pace().onEntry(target.coldMillis(), clock.millis());
    } else {
      TargetLoad added = recallOrCreate(target);
      applyEvacuation(added);
      dispatcher.add(added);
    }
  }

  @Override
  public void onRemoved(TargetRecord target) {
    logger.atInfo().log("target %s of service %s was removed", target.id(), target.service());
    dispatcher.remove(target.service(), target.id()).ifPresent(this::remember);
    connections.closeIdle(target);
  }

  @Override
  public void onEvacuation(String dataCentre, boolean evacuated) {
    if (evacuated) {
      evacuatedDataCentres.add(dataCentre);
      evacuationEnds.remove(dataCentre);
    } else {
      evacuatedDataCentres.remove(dataCentre);
      evacuationEnds.put(dataCentre, clock.millis());
    }
    // Attempts at removed targets may still be connecting.
    List<TargetLoad> affected = new ArrayList<>(dispatcher.targets());
    affected.addAll(removed.values());
    affected.removeIf(target -> !target.record().dataCentre().equals(dataCentre));
    affected.forEach(this::applyEvacuation);
    logger.atInfo().log(
        evacuated
            ? "data centre %s is evacuated: nothing is sent to its %d targets"
            : "evacuation of data centre %s was taken back: its %d targets may be used",
        dataCentre,
        affected.size());
  }

  /** Applies the evacuation of its data centre to a target, also to one that has just appeared. */
  private void applyEvacuation(TargetLoad target) {
    String dataCentre = target.record().dataCentre();
    if (evacuatedDataCentres.contains(dataCentre)) {
      target.onEvacuated();
      return;
    }
    Long endedAt = evacuationEnds.get(dataCentre);
    boolean unknownEnd =
        endedAt != null && !target.evacuationEndedAt().equals(OptionalLong.of(endedAt));
    if (target.isEvacuated() || unknownEnd) {
      // A target that is still marked without an end has moved to another data centre.
      target.onEvacuationEnded(endedAt == null ? clock.millis() : endedAt);
    }
  }

  /** Returns the load of a target whose entry has returned, or of a new target. */
  private TargetLoad recallOrCreate(TargetRecord target) {
    TargetLoad known = removed.remove(target.incarnationKey());
    if (known == null || !known.record().isSameIncarnation(target)) {
      return new TargetLoad(
          target,
          kvCapacityTokens(target.service()),
          fleetPace.create(target, complete.getAsBoolean(), clock.millis()));
    }
    known.update(target);
    known.pace().onEntry(target.coldMillis(), clock.millis());
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
