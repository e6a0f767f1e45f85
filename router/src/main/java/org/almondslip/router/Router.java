package org.almondslip.router;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.almondslip.catalog.Catalog;
import org.almondslip.duty.EventThread;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.metrics.OperationsServer;
import org.almondslip.process.Incarnation;
import org.almondslip.process.Program;
import org.almondslip.protocol.PeerTransport;
import org.almondslip.protocol.TrafficCounters;
import org.almondslip.protocol.TransportSettings;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.resource.Closer;
import org.almondslip.router.admin.AdminServer;
import org.almondslip.router.admin.OperatorKey;
import org.almondslip.routing.DialPlanner;
import org.almondslip.routing.RouterLogic;
import org.almondslip.routing.RoutingStats;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A running router: callers' API, inner transport and the decision thread between them. */
final class Router implements Program.Running {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Size of the ring of the decision thread, in events. */
  private static final int RING_CAPACITY = 16_384;

  /** Interval at which a drain is checked, in milliseconds. */
  private static final long DRAIN_CHECK_MILLIS = 20;

  /** Time for the last answers to leave after a drain, in milliseconds. */
  private static final long FLUSH_MILLIS = 2_000;

  /** Settings. */
  private final RouterSettings settings;

  /** Source of time. */
  private final Clock clock;

  /** Open resources. */
  private final Closer closer = new Closer();

  /** Source of the catalog and the members. */
  private final FleetSource fleet;

  /** Decisions. */
  private final RouterLogic logic;

  /** Connections to agents. */
  private final DialPlanner dials;

  /** Work of the decision thread. */
  private final RouterDuty work;

  /** Decision thread. */
  private final EventThread<RouterEvent> eventThread;

  /** Inner connections. */
  private final PeerTransport transport;

  /** Exchanges with callers. */
  private final Exchanges exchanges;

  /** Callers' API. */
  private final CallerServer server;

  /** Operators' API, empty when the fleet cannot be changed. */
  private final Optional<AdminServer> admin;

  /** Health, readiness and metrics. */
  private final OperationsServer operations;

  /** Catalog in force, for the threads of the callers' API. */
  private volatile Catalog catalog = Catalog.EMPTY;

  /** Whether a planned stop has begun. */
  private volatile boolean draining;

  /** Port of the callers' API. */
  private int port;

  /** Port of the operators' API, 0 without one. */
  private int adminPort;

  /** Port of health and metrics. */
  private int operationsPort;

  /**
   * Creates a router that does not listen yet.
   *
   * @param settings the settings
   * @param clock the source of time
   * @param factory creates the source of the catalog and the members
   */
  Router(RouterSettings settings, Clock clock, FleetSource.Factory factory) {
    this.settings = settings;
    this.clock = clock;
    Vertx vertx = Vertx.vertx(vertxOptions());
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    PeerIdentity self = identity(settings, clock);
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    this.fleet = closer.register(factory.create(self, vertx, this::decide));
    this.exchanges = new Exchanges(settings.callers(), this::dialMore, this::recordSuspect);
    this.logic =
        new RouterLogic(
            self.incarnation(),
            settings.region(),
            settings.routing(),
            new SuspectRegistry(),
            clock,
            random,
            exchanges);
    this.dials = new DialPlanner(settings.instance(), settings.region(), random, this::dial);
    this.work = new RouterDuty(logic, dials, fleet, clock, next -> catalog = next);
    this.eventThread =
        closer.register(
            new EventThread<>("router", RING_CAPACITY, RouterDuty.TICK_MILLIS, clock, work));
    TrafficCounters traffic = new TrafficCounters();
    this.transport =
        closer.register(
            new PeerTransport(
                self,
                TransportSettings.of(settings.secret()),
                this::heartbeat,
                new PeerEvents(eventThread),
                traffic));
    this.server =
        closer.register(
            new CallerServer(
                vertx,
                settings.callers(),
                new Authenticator(() -> catalog),
                exchanges,
                new RequestSink.ToDuty(eventThread),
                clock));
    this.admin =
        fleet
            .admin(this::status)
            .map(
                service ->
                    new AdminServer(vertx, OperatorKey.ofSecret(settings.operatorKey()), service));
    admin.ifPresent(closer::register);
    PrometheusRegistry registry = new PrometheusRegistry();
    registerMetrics(new RouterMetrics(registry), traffic);
    this.operations = closer.register(new OperationsServer(vertx, registry, this::obstacle));
  }

  /** Starts the decision thread and listens on all addresses. */
  void start() {
    eventThread.start();
    final String inner = transport.listen();
    operationsPort = operations.listen(settings.operationsListen());
    adminPort = admin.map(operators -> operators.listen(settings.adminListen())).orElse(0);
    port = server.listen(settings.listen());
    logger.atInfo().log("callers are served on port %d, peers on %s", port, inner);
  }

  @Override
  public void drain() {
    draining = true;
    eventThread.put(new RouterEvent.Task(logic::onDrain));
    if (!await(settings.drainMillis())) {
      logger.atWarning().log("requests still ran when the drain limit had passed");
      eventThread.put(new RouterEvent.Task(logic::onDrainLimit));
    }
    await(FLUSH_MILLIS);
    close();
  }

  /** Releases everything at once. */
  void close() {
    closer.close();
  }

  /**
   * Returns the port of the callers' API.
   *
   * @return the port that was bound
   */
  int port() {
    return port;
  }

  /**
   * Returns the port of the operators' API.
   *
   * @return the port that was bound, 0 without one
   */
  int adminPort() {
    return adminPort;
  }

  /**
   * Returns the port of health and metrics.
   *
   * @return the port that was bound
   */
  int operationsPort() {
    return operationsPort;
  }

  /**
   * Waits until no request is in progress.
   *
   * @param limitMillis the longest wait, in milliseconds
   * @return false when the limit has passed
   */
  private boolean await(long limitMillis) {
    CountDownLatch never = new CountDownLatch(1);
    long end = clock.millis() + limitMillis;
    try {
      while (!work.drained() || exchanges.size() > 0) {
        if (clock.millis() >= end) {
          return false;
        }
        never.await(DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return true;
  }

  /**
   * Registers all metrics.
   *
   * @param metrics the metrics
   * @param traffic the traffic of the inner protocol
   */
  private void registerMetrics(RouterMetrics metrics, TrafficCounters traffic) {
    metrics.registerRouting(work::stats);
    metrics.registerCallers(exchanges, server);
    metrics.registerTraffic(traffic);
    metrics.registerCatalog(() -> catalog.revision());
  }

  /**
   * Builds the heartbeat of this router.
   *
   * @return the heartbeat
   */
  private Heartbeat heartbeat() {
    return Heartbeat.newBuilder().setCatalogRevision(catalog.revision()).build();
  }

  /**
   * Returns why the router takes no requests.
   *
   * @return the reason, empty when it is ready
   */
  private Optional<String> obstacle() {
    if (draining) {
      return Optional.of("draining");
    }
    return catalog.revision() == 0 ? Optional.of("no catalog yet") : Optional.empty();
  }

  /**
   * Opens an inner connection.
   *
   * @param address the address
   */
  private void dial(String address) {
    transport.dial(address);
  }

  /**
   * Asks for connections to more agents of a pool.
   *
   * @param pool the pool
   */
  private void dialMore(String pool) {
    dials.dialMore(pool, clock.millis());
  }

  /**
   * Runs work on the decision thread.
   *
   * @param action the work
   */
  private void decide(Runnable action) {
    eventThread.put(new RouterEvent.Task(action));
  }

  /**
   * Returns the status that operators see.
   *
   * @return the status
   */
  private JsonObject status() {
    RoutingStats stats = logic.stats();
    return new JsonObject()
        .put("instance", settings.instance())
        .put("region", settings.region())
        .put("revision", catalog.revision())
        .put("draining", draining)
        .put("agents", stats.agents())
        .put("waiting", stats.waiting())
        .put("in_flight", stats.inFlight());
  }

  /**
   * Logs and records a crash mark.
   *
   * @param notice the mark
   */
  private void recordSuspect(SuspectNotice notice) {
    fleet.recordSuspect(notice);
    logger.atWarning().log(
        "request with fingerprint %x %s",
        notice.getFingerprint(),
        notice.getCleared() ? "is cleared" : "was in flight at crash " + notice.getCrashId());
  }

  /**
   * Builds the identity of this router.
   *
   * @param settings the settings
   * @param clock the source of time
   * @return the identity
   */
  private static PeerIdentity identity(RouterSettings settings, Clock clock) {
    return new PeerIdentity(
        settings.instance(),
        Incarnation.next(clock),
        Role.ROUTER,
        settings.region(),
        settings.dataCentre(),
        settings.innerListen(),
        "");
  }

  /**
   * Builds the options of the event loops. Instances have no disk, so nothing is cached there.
   *
   * @return the options
   */
  private static VertxOptions vertxOptions() {
    return new VertxOptions()
        .setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setFileSystemOptions(
            new FileSystemOptions()
                .setFileCachingEnabled(false)
                .setClassPathResolvingEnabled(false));
  }
}
