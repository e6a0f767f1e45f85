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
import org.almondslip.budget.FleetAllowance;
import org.almondslip.directory.Address;
import org.almondslip.directory.Directory;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.metrics.OperationsServer;
import org.almondslip.pace.FleetPace;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.process.Program;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.report.CacheExchange;
import org.almondslip.report.ReportReader;
import org.almondslip.report.ReportWriter;
import org.almondslip.resource.Closer;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Router that calls targets itself.
 *
 * <p>All decisions and all I/O run on a single event loop: an instance has half a core, so a second
 * thread would only add context switches.
 */
public final class Gateway implements Program.Running {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval of the event loop delay samples and the queue checks in milliseconds. */
  private static final long TICK_MILLIS = 20;

  /** Interval of the checks for idle connections and other expired state in milliseconds. */
  private static final long EXPIRY_CHECK_MILLIS = 500;

  /** Interval of the {@link StatusLog} in milliseconds. */
  private static final long STATUS_LOG_MILLIS = 1_000;

  /** Parser limit of the request line and of all headers, in bytes. */
  private static final int MAX_HEADER_BYTES = 64 << 10;

  /**
   * Time for which a router that shuts down still accepts requests, in milliseconds. The balancer
   * needs two checks, one second apart, to remove it.
   */
  private static final long BALANCER_REMOVAL_MILLIS = 2_600;

  /**
   * Fraction of the drain time after which waiting requests are refused. The rest is left for the
   * requests that targets run.
   */
  private static final double WAITING_FRACTION = 0.6;

  /** Fraction of the drain time after which open requests are aborted. */
  private static final double DRAIN_FRACTION = 0.94;

  /** Interval at which a planned stop checks for open requests, in milliseconds. */
  private static final long DRAIN_CHECK_MILLIS = 50;

  /**
   * Fraction of the file descriptors that the connections of callers may use. The rest is for
   * targets, the store and files.
   */
  private static final double CALLER_DESCRIPTOR_FRACTION = 0.75;

  private final GatewaySettings settings;

  private final Clock clock;

  private final Vertx vertx;

  private final Closer closer = new Closer();

  private final Directory directory;

  private final Dispatcher dispatcher;

  private final FleetPace fleetPace;

  private final PeerExchange peerExchange;

  private final TargetConnectionPool targetConnections;

  private final ColdTargetProbe coldTargetProbe;

  private final CallerConnections callerConnections;

  private final CallerRequestHandler requestHandler;

  private final DirectorySource source;

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final DecisionLog decisionLog;

  private final BodyMemory bodyMemory;

  private final ResponseMemory responseMemory;

  private final UploadGate uploads;

  private final QuarantineLog quarantineLog = new QuarantineLog();

  private final PaceLog paceLog = new PaceLog();

  private final SegmentQuarantine segmentQuarantine;

  private final EventLoopDelay eventLoopDelay;

  private final OverloadDetector overloadDetector;

  /** Whether the router is shutting down and reports that it is not ready. */
  private volatile boolean draining;

  /** Whether the router is shutting down and refuses new requests. */
  private volatile boolean refusingRequests;

  /** Server of the API for callers, empty before {@link #start}. */
  private Optional<HttpServer> server = Optional.empty();

  /** Creates the reader of the state of the fleet. */
  public interface DirectorySourceFactory {

    /**
     * Creates a reader that is not started.
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
   * @param codec reads and writes headers
   * @param sourceFactory creates the reader of the state of the fleet
   */
  public Gateway(
      GatewaySettings settings,
      Clock clock,
      HeaderCodec codec,
      DirectorySourceFactory sourceFactory) {
    this(settings, clock, codec, sourceFactory, BodyMemory.ofHeap());
  }

  /**
   * Creates a router with a given memory of bodies.
   *
   * @param settings the settings
   * @param clock the source of time
   * @param codec reads and writes headers
   * @param sourceFactory creates the reader of the state of the fleet
   * @param bodyMemory the memory of the bodies of requests and responses
   */
  Gateway(
      GatewaySettings settings,
      Clock clock,
      HeaderCodec codec,
      DirectorySourceFactory sourceFactory,
      BodyMemory bodyMemory) {
    this.settings = settings;
    this.clock = clock;
    this.bodyMemory = bodyMemory;
    this.responseMemory = new ResponseMemory(clock, bodyMemory);
    this.uploads = new UploadGate(clock, bodyMemory);
    this.decisionLog = new DecisionLog(clock, registry);
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1))
                .setBlockedThreadCheckIntervalUnit(TimeUnit.MILLISECONDS));
    Placement placement = new Placement(settings.dataCentre(), EngineModel.DEFAULT);
    this.dispatcher =
        new Dispatcher(
            clock,
            placement,
            EngineModel.DEFAULT,
            DispatchLimits.DEFAULT.withBoundsTargetMemory(settings.boundsTargetMemory()));
    CrashQuarantine crashQuarantine = new CrashQuarantine(clock);
    this.segmentQuarantine = new SegmentQuarantine(clock, settings.instance(), quarantineLog);
    final long incarnation = clock.wallMillis();
    FleetAllowance retryAllowance = new FleetAllowance(settings.fleetRetryAllowance());
    this.fleetPace =
        new FleetPace(
            settings.instance(),
            settings.coldRequestFactor(),
            settings.coldRequestAllowance(),
            paceLog);
    this.peerExchange =
        new PeerExchange(
            vertx,
            settings.instance(),
            settings.region(),
            refresh ->
                new ReportWriter(
                    settings.instance(),
                    incarnation,
                    dispatcher,
                    segmentQuarantine,
                    clock,
                    refresh),
            new ReportReader(dispatcher, crashQuarantine, segmentQuarantine, clock),
            new CacheExchange(clock, settings.instance(), incarnation, dispatcher),
            crashQuarantine,
            segmentQuarantine,
            retryAllowance,
            fleetPace,
            clock);
    this.targetConnections = new TargetConnectionPool(vertx, clock);
    this.coldTargetProbe = new ColdTargetProbe(vertx, clock, dispatcher, targetConnections, codec);
    this.callerConnections =
        new CallerConnections(
            clock, (int) (settings.maxDescriptors() * CALLER_DESCRIPTOR_FRACTION));
    this.directory =
        new Directory(
            clock,
            new DirectoryChanges(
                clock, dispatcher, targetConnections, fleetPace, this::isDirectoryComplete));
    this.eventLoopDelay = new EventLoopDelay(clock, TICK_MILLIS);
    this.overloadDetector = new OverloadDetector(clock, settings.maxEventLoopDelayMillis());
    this.source = sourceFactory.create(vertx, clock);
    ForwardingContext context =
        new ForwardingContext(
            clock,
            settings,
            codec,
            placement,
            dispatcher,
            targetConnections,
            new TargetProbe(vertx, targetConnections),
            decisionLog,
            peerExchange,
            crashQuarantine,
            segmentQuarantine,
            bodyMemory,
            responseMemory,
            retryAllowance);
    this.requestHandler =
        new CallerRequestHandler(
            vertx,
            context,
            settings,
            directory,
            callerConnections,
            eventLoopDelay,
            uploads,
            RandomSource.XO_RO_SHI_RO_128_PP.create(),
            () -> draining || overloadDetector.overloaded() || callerConnections.aboveSoftLimit(),
            () -> refusingRequests);
  }

  /** Starts to read the state of the fleet and listens for callers, routers and operators. */
  public void start() {
    closer.register(vertx::close);
    Address readyListen = Address.of(settings.readyListen());
    PaceMetrics.register(registry, fleetPace, paceLog, coldTargetProbe);
    new GatewayMetrics(registry)
        .register(
            decisionLog,
            dispatcher,
            requestHandler,
            callerConnections,
            directory,
            eventLoopDelay,
            overloadDetector,
            peerExchange.counts(),
            segmentQuarantine,
            quarantineLog,
            bodyMemory,
            responseMemory,
            uploads);
    runOnEventLoop(
        () -> {
          source.start(
              directory,
              new RouterNames(
                  settings.instance(),
                  peerExchange,
                  names -> dispatcher.setRouters(settings.instance(), names)));
          peerExchange.start(settings.peerListen());
          vertx.setPeriodic(TICK_MILLIS, id -> tick());
          vertx.setPeriodic(EXPIRY_CHECK_MILLIS, id -> removeExpired());
          StatusLog status =
              new StatusLog(dispatcher, peerExchange.counts(), eventLoopDelay, callerConnections);
          vertx.setPeriodic(STATUS_LOG_MILLIS, id -> status.log());
          vertx
              .createHttpServer()
              .requestHandler(
                  request ->
                      request
                          .response()
                          .setStatusCode(unreadyReason().isPresent() ? 503 : 200)
                          .end())
              .listen(readyListen.port(), readyListen.host());
        });
    OperationsServer operations =
        closer.register(new OperationsServer(vertx, registry, this::unreadyReason));
    operations.listen(settings.operationsListen());
    listen();
  }

  /** Returns the port of the API for callers. Must not be called before {@link #start}. */
  int port() {
    return server.orElseThrow().actualPort();
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  BodyMemory bodyMemory() {
    return bodyMemory;
  }

  ResponseMemory responseMemory() {
    return responseMemory;
  }

  @Override
  public void drain() {
    draining = true;
    CountDownLatch drained = new CountDownLatch(1);
    long startedAt = clock.millis();
    long refuseWaitingAt = startedAt + (long) (settings.drainMillis() * WAITING_FRACTION);
    long abortAt = startedAt + (long) (settings.drainMillis() * DRAIN_FRACTION);
    vertx.runOnContext(
        ignored ->
            vertx.setPeriodic(
                DRAIN_CHECK_MILLIS,
                id -> {
                  long now = clock.millis();
                  if (!refusingRequests && now - startedAt >= BALANCER_REMOVAL_MILLIS) {
                    refusingRequests = true;
                    callerConnections.closeIdle(0);
                  }
                  if (now >= refuseWaitingAt) {
                    requestHandler.refuseWaiting();
                  }
                  if (refusingRequests && !callerConnections.hasRequests()
                      || now >= abortAt + DRAIN_CHECK_MILLIS) {
                    drained.countDown();
                  } else if (now >= abortAt) {
                    requestHandler.endAll();
                  }
                }));
    try {
      drained.await(settings.drainMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    logger.atInfo().log(
        "drain ended, closing with %d open requests", requestHandler.openRequests());
    source.close();
    closer.close();
  }

  private boolean isDirectoryComplete() {
    return directory.isComplete();
  }

  /** Returns why the router is not ready, empty when it is ready. */
  private Optional<String> unreadyReason() {
    if (draining) {
      return Optional.of("shutting down");
    }
    if (!directory.isComplete()) {
      return Optional.of("routes or targets are not known yet");
    }
    if (overloadDetector.overloaded()) {
      return Optional.of("behind the load");
    }
    return requestHandler.areKeysFresh()
        ? Optional.empty()
        : Optional.of("the known keys are too old");
  }

  /** Listens for callers. */
  private void listen() {
    HttpServerOptions options =
        new HttpServerOptions()
            // The upgrade to HTTP/2 would replace the strict decoder after the first request.
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
                        callerConnections.onOpen(connection);
                        connection.closeHandler(closed -> callerConnections.onClosed(connection));
                      })
                  .requestHandler(requestHandler::onRequest)
                  .listen(address.port(), address.host());
          future.onSuccess(listening::complete).onFailure(listening::completeExceptionally);
        });
    server = Optional.of(listening.join());
  }

  /** Samples the delay of the event loop, and checks the directory and the queues for timeouts. */
  private void tick() {
    eventLoopDelay.onTick();
    overloadDetector.addSample(eventLoopDelay.millis());
    directory.tick();
    segmentQuarantine.tick();
    fleetPace.tick(clock.millis());
    coldTargetProbe.tick();
    dispatcher.tick();
    responseMemory.tick();
    uploads.tick();
  }

  /**
   * Closes idle connections to targets, and idle or stalled connections of callers, and forgets
   * outdated suspicions.
   */
  private void removeExpired() {
    targetConnections.closeExpired();
    segmentQuarantine.prune();
    directory
        .table()
        .ifPresent(
            table -> {
              callerConnections.closeIdleAndStalled(table.limits().idleTimeoutMillis());
              responseMemory.cutOffStalled(table.limits().idleTimeoutMillis());
            });
  }

  /** Runs a task on the event loop and waits until it ends. */
  private void runOnEventLoop(Runnable task) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> {
          try {
            task.run();
            result.complete(null);
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    result.join();
  }
}
