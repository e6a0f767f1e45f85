package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.almondslip.directory.Address;
import org.almondslip.directory.Directory;
import org.almondslip.directory.RoutingTable;
import org.almondslip.directory.ServicePolicy;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.metrics.OperationsServer;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.process.Program;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;
import org.almondslip.resource.Closer;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Router that calls targets itself.
 *
 * <p>All decisions and all input and output run on one event loop: an instance has half of a core,
 * so a second thread would only add wake-ups.
 */
public final class Gateway implements Program.Running {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval of the queues' checks in milliseconds. */
  private static final long TICK_MILLIS = 20;

  /** Interval of the checks for idle connections in milliseconds. */
  private static final long SWEEP_MILLIS = 500;

  /** Interval of the lines about the queues in milliseconds. */
  private static final long STATUS_MILLIS = 1_000;

  /** Largest size of all headers that is read at all, in bytes. */
  private static final int MAX_HEADER_BYTES = 64 << 10;

  /**
   * Time for which a router that shuts down takes new connections, in milliseconds. The balancer
   * needs two checks, one second apart, to take it out.
   */
  private static final long BALANCER_MILLIS = 2_600;

  /** Part of the drain time after which open requests are cut off. */
  private static final double DRAIN_PART = 0.94;

  /** Interval of the checks of a planned stop in milliseconds. */
  private static final long DRAIN_CHECK_MILLIS = 50;

  /**
   * Part of the descriptors that connections of callers may use. The rest is for targets, the store
   * and files.
   */
  private static final double CALLER_PART = 0.75;

  /** Settings. */
  private final GatewaySettings settings;

  /** Source of time. */
  private final Clock clock;

  /** Event loop. */
  private final Vertx vertx;

  /** Resources of the router. */
  private final Closer closer = new Closer();

  /** State of the fleet. */
  private final Directory directory;

  /** Order of waiting requests. */
  private final Dispatcher dispatcher;

  /** Reports of other routers. */
  private final PeerExchange peers;

  /** Connections to targets. */
  private final TargetConnections targets;

  /** Connections of callers. */
  private final CallerConnections callers;

  /** Intake of requests. */
  private final Intake intake;

  /** Reader of the state of the fleet. */
  private final DirectorySource source;

  /** Metrics of the process. */
  private final PrometheusRegistry registry = new PrometheusRegistry();

  /** Log of decisions. */
  private final DecisionLog decisions;

  /** Delay of the event loop. */
  private final LoopDelay delay;

  /** Whether the router is behind its load. */
  private final OverloadDetector overload;

  /** Whether the router is shutting down. */
  private volatile boolean draining;

  /** Whether the router takes no further requests. */
  private volatile boolean closed;

  /** Server of callers. */
  private Optional<HttpServer> server = Optional.empty();

  /** Makes the reader of the state of the fleet. */
  public interface DirectorySourceFactory {

    /**
     * Makes a reader.
     *
     * @param vertx the event loop
     * @param clock the source of time
     * @return the reader
     */
    DirectorySource create(Vertx vertx, Clock clock);
  }

  /**
   * Creates a router that does not listen yet.
   *
   * @param settings the settings
   * @param clock the source of time
   * @param codec the names of headers
   * @param sources makes the reader of the state of the fleet
   */
  public Gateway(
      GatewaySettings settings, Clock clock, HeaderCodec codec, DirectorySourceFactory sources) {
    this.settings = settings;
    this.clock = clock;
    this.decisions = new DecisionLog(clock, registry);
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1))
                .setBlockedThreadCheckIntervalUnit(TimeUnit.MILLISECONDS));
    Placement placement = new Placement(settings.dataCentre(), EngineModel.DEFAULT);
    this.dispatcher = new Dispatcher(clock, placement, EngineModel.DEFAULT, DispatchLimits.DEFAULT);
    CrashQuarantine crashes = new CrashQuarantine(clock);
    this.peers =
        new PeerExchange(
            vertx,
            settings.instance(),
            new ReportWriter(settings.instance(), clock.wallMillis(), dispatcher),
            new ReportReader(dispatcher, crashes, clock),
            crashes);
    this.targets = new TargetConnections(vertx, clock);
    this.callers = new CallerConnections(clock, (int) (settings.maxDescriptors() * CALLER_PART));
    this.directory = new Directory(clock, new Changes());
    this.delay = new LoopDelay(clock, TICK_MILLIS);
    this.overload = new OverloadDetector(clock, settings.maxEventLoopDelayMillis());
    this.source = sources.create(vertx, clock);
    GatewayParts parts =
        new GatewayParts(
            clock, settings, codec, placement, dispatcher, targets, decisions, peers, crashes);
    this.intake =
        new Intake(
            vertx,
            parts,
            settings,
            directory,
            callers,
            delay,
            RandomSource.XO_RO_SHI_RO_128_PP.create(),
            () -> draining || overload.overloaded() || callers.crowded(),
            () -> closed);
  }

  /** Starts to read the state of the fleet and to listen. */
  public void start() {
    closer.register(vertx::close);
    Address readyListen = Address.of(settings.readyListen());
    new GatewayMetrics(registry)
        .register(
            decisions, dispatcher, intake, callers, directory, delay, overload, peers.counts());
    onEventLoop(
        () -> {
          source.start(directory, peers);
          peers.start(settings.peerListen());
          vertx.setPeriodic(TICK_MILLIS, id -> tick());
          vertx.setPeriodic(SWEEP_MILLIS, id -> sweep());
          StatusLog status = new StatusLog(dispatcher, peers.counts(), delay, callers);
          vertx.setPeriodic(STATUS_MILLIS, id -> status.log());
          vertx
              .createHttpServer()
              .requestHandler(
                  request ->
                      request.response().setStatusCode(obstacle().isPresent() ? 503 : 200).end())
              .listen(readyListen.port(), readyListen.host());
        });
    OperationsServer operations =
        closer.register(new OperationsServer(vertx, registry, this::obstacle));
    operations.listen(settings.operationsListen());
    listen();
  }

  /**
   * Returns the port for callers.
   *
   * @return the port that was bound
   */
  int port() {
    return server.orElseThrow().actualPort();
  }

  /**
   * Returns the order of waiting requests.
   *
   * @return the dispatcher
   */
  Dispatcher dispatcher() {
    return dispatcher;
  }

  @Override
  public void drain() {
    draining = true;
    CountDownLatch done = new CountDownLatch(1);
    long startedAt = clock.millis();
    long limit = startedAt + (long) (settings.drainMillis() * DRAIN_PART);
    vertx.runOnContext(
        ignored ->
            vertx.setPeriodic(
                DRAIN_CHECK_MILLIS,
                id -> {
                  long now = clock.millis();
                  if (!closed && now - startedAt >= BALANCER_MILLIS) {
                    closed = true;
                    callers.closeIdle(0);
                  }
                  if (closed && intake.open() == 0 || now >= limit) {
                    done.countDown();
                  }
                }));
    try {
      done.await(settings.drainMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    logger.atInfo().log("stopping with %d requests open", intake.open());
    source.close();
    closer.close();
  }

  /**
   * Returns why the router takes no requests.
   *
   * @return the reason, empty when it takes requests
   */
  private Optional<String> obstacle() {
    if (draining) {
      return Optional.of("shutting down");
    }
    if (!directory.isComplete()) {
      return Optional.of("routes or targets are not known yet");
    }
    if (overload.overloaded()) {
      return Optional.of("behind the load");
    }
    return intake.keysFresh() ? Optional.empty() : Optional.of("the known keys are too old");
  }

  /** Listens for callers. */
  private void listen() {
    HttpServerOptions options =
        new HttpServerOptions()
            // The upgrade to HTTP/2 would replace the decoder after the first request.
            .setHttp2ClearTextEnabled(false)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxInitialLineLength(MAX_HEADER_BYTES)
            .setHandle100ContinueAutomatically(true)
            .setTcpNoDelay(true);
    Address address = Address.of(settings.listen());
    CompletableFuture<HttpServer> listening = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> {
          Future<HttpServer> future =
              vertx
                  .createHttpServer(options)
                  .connectionHandler(
                      connection -> {
                        StrictRequestDecoder.install(connection, options);
                        callers.onOpen(connection);
                        connection.closeHandler(closed -> callers.onClosed(connection));
                      })
                  .requestHandler(intake::onRequest)
                  .listen(address.port(), address.host());
          future.onSuccess(listening::complete).onFailure(listening::completeExceptionally);
        });
    server = Optional.of(listening.join());
  }

  /** Measures the delay of the event loop and checks lapsed targets and the queues. */
  private void tick() {
    delay.onTick();
    overload.onDelay(delay.millis());
    directory.tick();
    dispatcher.tick();
  }

  /** Closes connections that have been idle, or stopped within a request, for too long. */
  private void sweep() {
    targets.expire();
    directory.table().ifPresent(table -> callers.expire(table.limits().idleTimeoutMillis()));
  }

  /**
   * Runs a task on the event loop and waits for it.
   *
   * @param task the task
   */
  private void onEventLoop(Runnable task) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> {
          try {
            task.run();
            done.complete(null);
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    done.join();
  }

  /** Applies changes of the directory. */
  private final class Changes implements Directory.Listener {

    @Override
    public void onTable(RoutingTable table) {
      logger.atInfo().log("routes of version %d: %d", table.version(), table.routeCount());
    }

    @Override
    public void onTarget(TargetRecord target) {
      logger.atInfo().log(
          "target %s of %s at %s:%d is %s",
          target.id(), target.service(), target.host(), target.port(), target.state());
      Optional<TargetLoad> known =
          dispatcher.targets(target.service()).stream()
              .filter(load -> load.record().id().equals(target.id()))
              .findFirst();
      if (known.isPresent()) {
        known.get().update(target);
      } else {
        dispatcher.add(new TargetLoad(target, memoryTokens(target.service())));
      }
    }

    @Override
    public void onRemoved(TargetRecord target) {
      logger.atInfo().log("target %s of %s has left", target.id(), target.service());
      dispatcher.remove(target.service(), target.id());
      targets.forget(target);
    }

    /**
     * Returns the memory of the engines of a service.
     *
     * @param service the name of the service
     * @return the tokens that one engine holds
     */
    private long memoryTokens(String service) {
      return directory
          .table()
          .flatMap(table -> table.service(service))
          .map(ServicePolicy::kvCapacityTokens)
          .orElse(0L);
    }
  }
}
