package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.almondslip.placement.TargetLoad;

/**
 * Tells targets that have ended from those that have closed single connections, by a new connection
 * after the loss of one. Targets, networks and idle timeouts close connections far more often than
 * targets crash.
 */
final class TargetProbe {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time between the loss of a connection and the probe, in milliseconds. A process that ends may
   * close its listening socket after its connections.
   */
  private static final long DELAY_MILLIS = 50;

  private final Vertx vertx;

  private final TargetConnectionPool connections;

  /** Probes under way by incarnation of the target. */
  private final Map<Long, Future<Boolean>> probes = new HashMap<>();

  TargetProbe(Vertx vertx, TargetConnectionPool connections) {
    this.vertx = vertx;
    this.connections = connections;
  }

  /**
   * Returns whether a target has ended, so that its address refuses connections. A target that does
   * not reply counts as running.
   *
   * @param target the target, a connection to which was lost
   * @return the outcome, which is shared by all requests that the target loses at the same time
   */
  Future<Boolean> hasEnded(TargetLoad target) {
    long key = target.incarnationKey();
    Future<Boolean> running = probes.get(key);
    if (running != null) {
      return running;
    }
    Future<Boolean> probe =
        vertx
            .timer(DELAY_MILLIS, TimeUnit.MILLISECONDS)
            .compose(ignored -> connections.refusesConnections(target.record()));
    probes.put(key, probe);
    probe.onComplete(
        ended -> {
          probes.remove(key);
          if (ended.succeeded() && ended.result()) {
            logger.atInfo().log(
                "target %s refuses connections after the loss of one", target.record().id());
          }
        });
    return probe;
  }
}
