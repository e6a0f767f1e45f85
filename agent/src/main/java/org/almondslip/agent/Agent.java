package org.almondslip.agent;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.almondslip.duty.EventThread;
import org.almondslip.execution.ExecutionCounters;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.metrics.OperationsServer;
import org.almondslip.order.ClaimCounters;
import org.almondslip.process.Incarnation;
import org.almondslip.process.Program;
import org.almondslip.protocol.PeerTransport;
import org.almondslip.protocol.TrafficCounters;
import org.almondslip.protocol.TransportSettings;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.Announce;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Role;
import org.almondslip.resource.Closer;
import org.almondslip.time.Clock;

/** A running agent: its threads, servers and clients. */
public final class Agent implements Program.Running {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Capacity of the event queue. */
  private static final int RING_CAPACITY = 16_384;

  /** Interval between ticks of the event thread, in milliseconds. */
  private static final long TICK_MILLIS = 20;

  /** Settings of the agent. */
  private final AgentSettings settings;

  /** Source of time. */
  private final Clock clock = Clock.Standard.SYSTEM;

  /** Closes the resources of the agent. */
  private final Closer closer = new Closer();

  /** Thread that runs the state machines. */
  private final EventThread<AgentEvent> eventThread;

  /** State machines of the agent. */
  private final AgentComponents components;

  /** Handler of the events. */
  private final AgentWork work;

  /** Connections to routers and other agents. */
  private final PeerTransport transport;

  /** Server for health and metrics. */
  private final OperationsServer operations;

  /** Polls the load report of the target. */
  private final LoadPoller load;

  /** Bound port of the operations address; 0 until started. */
  private int operationsPort;

  /**
   * Creates an agent that has not started.
   *
   * @param settings the settings
   */
  public Agent(AgentSettings settings) {
    this.settings = settings;
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    TargetClient target = closer.register(new TargetClient(vertx, settings.target(), this::put));
    ExecutionCounters counters = new ExecutionCounters();
    PeerIdentity self = identity(settings, clock);
    ClaimCounters claims = new ClaimCounters();
    AgentComponents.Dependencies dependencies =
        new AgentComponents.Dependencies(
            vertx, target, this::onEventThread, this::dial, this::announcement);
    this.components = AgentComponents.of(settings, self, clock, dependencies, counters, claims);
    TrafficCounters traffic = new TrafficCounters();
    this.transport =
        new PeerTransport(
            self,
            TransportSettings.of(settings.secret()),
            this::heartbeat,
            new PeerEvents(this::put),
            traffic);
    this.work = new AgentWork(components, target);
    this.eventThread = new EventThread<>("agent", RING_CAPACITY, TICK_MILLIS, clock, work);
    closer.register(eventThread);
    closer.register(transport);
    this.load = closer.register(new LoadPoller(vertx, target, this::put, clock));
    PrometheusRegistry registry = new PrometheusRegistry();
    AgentMetrics metrics = new AgentMetrics(registry);
    metrics.register(counters);
    metrics.register(claims);
    metrics.register(traffic);
    metrics.register(load);
    metrics.registerCatalog(() -> components.fleet().catalog().revision());
    this.operations = closer.register(new OperationsServer(vertx, registry, this::notReadyReason));
  }

  /** Starts all threads and servers. */
  void start() {
    eventThread.start();
    String inner = transport.listen();
    operationsPort = operations.listen(settings.operationsListen());
    load.start();
    logger.atInfo().log("listening for inner connections on %s", inner);
  }

  @Override
  public void drain() {
    eventThread.put(AgentWork::stop);
    try {
      if (!work.drained().await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
        logger.atWarning().log("drain limit elapsed with requests still running");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    close();
  }

  /** Closes all resources without waiting for running requests. */
  void close() {
    closer.close();
  }

  /**
   * Returns the address for inner connections.
   *
   * @return the address with the port that was bound
   */
  String innerAddress() {
    return transport.identity().innerAddress();
  }

  /**
   * Returns the port of the operations address.
   *
   * @return the port that was bound
   */
  int operationsPort() {
    return operationsPort;
  }

  /**
   * Enqueues an event for the event thread.
   *
   * @param event the event
   */
  private void put(AgentEvent event) {
    eventThread.put(event);
  }

  /**
   * Runs an action on the event thread.
   *
   * @param action the action
   */
  private void onEventThread(Runnable action) {
    eventThread.put(ignored -> action.run());
  }

  /**
   * Opens an inner connection.
   *
   * @param address the address as {@code ip:port}
   */
  private void dial(String address) {
    transport.dial(address);
  }

  /**
   * Builds a heartbeat.
   *
   * @return the heartbeat without its sequence number
   */
  private Heartbeat heartbeat() {
    return Heartbeat.newBuilder()
        .setCatalogRevision(components.fleet().catalog().revision())
        .setAgent(components.logic().status())
        .build();
  }

  /**
   * Builds the announcement of this agent.
   *
   * @return the announcement
   */
  private Announce announcement() {
    PeerIdentity self = transport.identity();
    return Announce.newBuilder()
        .setInstanceId(self.instanceId())
        .setIncarnation(self.incarnation())
        .setInnerAddress(self.innerAddress())
        .setTarget(self.target())
        .build();
  }

  /**
   * Returns the reason for which the agent is not ready.
   *
   * @return the reason, or empty if the agent is ready
   */
  private Optional<String> notReadyReason() {
    AgentStatus status = components.logic().status();
    if (status.getDraining()) {
      return Optional.of("draining");
    }
    if (status.getSlots() == 0) {
      return Optional.of("the catalog does not know the target yet");
    }
    return status.getHealthy() ? Optional.empty() : Optional.of("the target does not answer");
  }

  /**
   * Builds the identity of this process.
   *
   * @param settings the settings
   * @param clock the source of time
   * @return the identity with a new incarnation
   */
  private static PeerIdentity identity(AgentSettings settings, Clock clock) {
    return new PeerIdentity(
        settings.instance(),
        Incarnation.next(clock),
        Role.AGENT,
        settings.region(),
        settings.dataCentre(),
        settings.innerListen(),
        settings.target().name());
  }
}
