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

  /** Events that may wait for the decision thread. */
  private static final int RING_CAPACITY = 16_384;

  /** Interval between ticks of the decision thread, in milliseconds. */
  private static final long TICK_MILLIS = 20;

  /** Settings of the agent. */
  private final AgentSettings settings;

  /** Source of time. */
  private final Clock clock = Clock.Standard.SYSTEM;

  /** Resources of the agent. */
  private final Closer closer = new Closer();

  /** Decision thread. */
  private final EventThread<AgentEvent> eventThread;

  /** State machines of the agent. */
  private final AgentParts parts;

  /** Work of the decision thread. */
  private final AgentWork work;

  /** Inner connections. */
  private final PeerTransport transport;

  /** Server of the operations address. */
  private final OperationsServer operations;

  /** Poll of the target's load. */
  private final LoadPoll load;

  /** Port of the operations address. */
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
    AgentParts.Surroundings outside =
        new AgentParts.Surroundings(
            vertx, target, this::onDecisionThread, this::dial, this::announcement);
    this.parts = AgentParts.of(settings, self, clock, outside, counters, claims);
    TrafficCounters traffic = new TrafficCounters();
    this.transport =
        new PeerTransport(
            self,
            TransportSettings.of(settings.secret()),
            this::heartbeat,
            new PeerEvents(this::put),
            traffic);
    this.work = new AgentWork(parts, target);
    this.eventThread = new EventThread<>("agent", RING_CAPACITY, TICK_MILLIS, clock, work);
    closer.register(eventThread);
    closer.register(transport);
    this.load = closer.register(new LoadPoll(vertx, target, this::put, clock));
    PrometheusRegistry registry = new PrometheusRegistry();
    AgentMetrics metrics = new AgentMetrics(registry);
    metrics.register(counters);
    metrics.register(claims);
    metrics.register(traffic);
    metrics.register(load);
    metrics.registerCatalog(() -> parts.fleet().catalog().revision());
    this.operations = closer.register(new OperationsServer(vertx, registry, this::obstacle));
  }

  /** Starts all threads and servers. */
  void start() {
    eventThread.start();
    String inner = transport.listen();
    operationsPort = operations.listen(settings.operationsListen());
    load.start();
    logger.atInfo().log("inner connections are accepted on %s", inner);
  }

  @Override
  public void drain() {
    eventThread.put(AgentWork::stop);
    try {
      if (!work.drained().await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
        logger.atWarning().log("requests still ran when the drain limit had passed");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    close();
  }

  /** Releases everything at once, without waiting for requests. */
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
   * Adds an event for the decision thread.
   *
   * @param event the event
   */
  private void put(AgentEvent event) {
    eventThread.put(event);
  }

  /**
   * Runs an action on the decision thread.
   *
   * @param action the action
   */
  private void onDecisionThread(Runnable action) {
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
        .setCatalogRevision(parts.fleet().catalog().revision())
        .setAgent(parts.logic().status())
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
   * Returns why the agent takes no work.
   *
   * @return the reason, empty when it is ready
   */
  private Optional<String> obstacle() {
    AgentStatus status = parts.logic().status();
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
