package org.almondslip.report;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.almondslip.directory.TargetRecord;
import org.almondslip.dispatch.DispatchLimits;
import org.almondslip.dispatch.Dispatcher;
import org.almondslip.dispatch.Job;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.Prompt;
import org.almondslip.placement.TargetLoad;
import org.almondslip.protocol.wire.LoadReport;
import org.almondslip.quarantine.CrashQuarantine;
import org.almondslip.quarantine.SegmentQuarantine;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Discrete-event simulation of a fleet of routers and engines.
 *
 * <p>Each router handles its events sequentially, and each event takes processor time, so a router
 * with a small share of a core cannot keep up with its load. Engines read prompts in order of
 * arrival.
 */
final class FleetSimulation {

  private static final String SERVICE = "s";

  /** Microseconds per millisecond. */
  private static final long MICROS_PER_MILLI = 1_000;

  /** Network delay between any two processes, in microseconds. */
  private static final long NETWORK_DELAY = 5 * MICROS_PER_MILLI;

  /** Interval between reports, in microseconds. */
  private static final long REPORT_INTERVAL = 60 * MICROS_PER_MILLI;

  /** Interval between periodic checks of the dispatcher, in microseconds. */
  private static final long TICK_INTERVAL = 20 * MICROS_PER_MILLI;

  /** Time for which an engine generates output after it has read the prompt, in microseconds. */
  private static final long GENERATION_TIME = 1_500 * MICROS_PER_MILLI;

  /** Number of events in a response. */
  private static final int RESPONSE_EVENTS = 30;

  /** Maximum datagram size that a receiver accepts, in bytes; larger ones are lost. */
  private static final int MAX_DATAGRAM_BYTES = 2_048;

  /** Maximum number of datagrams that a router reads per event loop iteration. */
  private static final int DATAGRAMS_PER_ITERATION = 128;

  /** Capacity of a socket's receive buffer, in datagrams. */
  private static final int RECEIVE_BUFFER_DATAGRAMS = 128;

  /** Probability that a datagram is lost on the network. */
  private static final double LOSS_PROBABILITY = 0.01;

  /** Event loop delay above which a router refuses requests, in milliseconds. */
  private static final long MAX_EVENT_LOOP_DELAY_MILLIS = 250;

  /** Response-time objective of the requests, in milliseconds. */
  private static final long OBJECTIVE_MILLIS = 1_000;

  /** Fraction of a prompt's tokens that are shared with other requests of the organisation. */
  private static final double SHARED_FRACTION = 0.6;

  /** Number of distinct shared prompt segments per organisation. */
  private static final int SHARED_SEGMENTS = 12;

  /** Processor time of a report or a periodic check, as a fraction of that of a request event. */
  private static final double SMALL_EVENT_FRACTION = 0.1;

  /** Processor time of relaying a response event, as a fraction of that of a request event. */
  private static final double RELAY_FRACTION = 0.25;

  private final List<Router> routers = new ArrayList<>();

  private final List<Engine> engines = new ArrayList<>();

  /** Scheduled events, the earliest first. */
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong((Event event) -> event.at)
              .thenComparingLong(event -> event.sequence));

  private final UniformRandomProvider random;

  private final ServiceRecord record;

  /** Simulated time, in microseconds. */
  private long now;

  /** Next sequence number, used for events and for ids of unshared prompt segments. */
  private long sequence;

  /** Clock of the routers. */
  private final Clock clock =
      new Clock() {
        @Override
        public long millis() {
          return now / MICROS_PER_MILLI;
        }

        @Override
        public long wallMillis() {
          return millis();
        }
      };

  /**
   * Task in the event loop of a router.
   *
   * @param cost the processor time, in microseconds
   * @param action the action to run
   */
  private record Task(long cost, Runnable action) {}

  /** Event of the simulation. */
  private static final class Event {
    /** Time of the event, in microseconds. */
    private final long at;

    /** Sequence number, which orders events with the same time. */
    private final long sequence;

    private final Runnable action;

    private Event(long at, long sequence, Runnable action) {
      this.at = at;
      this.sequence = sequence;
      this.action = action;
    }
  }

  /** Engine that reads prompts in order of arrival. */
  private static final class Engine {
    private final TargetRecord entry;

    /** Time at which the engine has read all prompts sent so far, in microseconds. */
    private long idleAt;

    private Engine(int index) {
      entry =
          new TargetRecord(
              "t" + index, SERVICE, "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1);
    }
  }

  /** Router with its own view of the fleet. */
  final class Router {
    private final String name;

    /** Processor time of a request event, in microseconds. */
    private final long eventMicros;

    private final Dispatcher dispatcher;

    private final ReportWriter writer;

    private final ReportReader reader;

    /** Pending tasks of the event loop. */
    private final Deque<Task> tasks = new ArrayDeque<>();

    /** Receive buffer of the router's socket. */
    private final Deque<byte[]> datagrams = new ArrayDeque<>();

    /** Whether the event loop is running. */
    private boolean running;

    private Router(String name, long eventMicros) {
      this.name = name;
      this.eventMicros = eventMicros;
      this.dispatcher =
          new Dispatcher(
              clock,
              new Placement("dc", EngineModel.DEFAULT),
              EngineModel.DEFAULT,
              DispatchLimits.DEFAULT);
      SegmentQuarantine segments =
          new SegmentQuarantine(clock, name, SegmentQuarantine.Listener.NoOp.INSTANCE);
      this.writer = new ReportWriter(name, 1, dispatcher, segments, clock, 5);
      this.reader = new ReportReader(dispatcher, new CrashQuarantine(clock), segments, clock);
      engines.forEach(engine -> dispatcher.add(new TargetLoad(engine.entry, 1_000_000)));
    }

    /**
     * Submits a task to the event loop at a given time.
     *
     * @param at the time of submission, in microseconds
     * @param cost the processor time, in microseconds
     * @param action the action to run
     */
    private void submitTask(long at, long cost, Runnable action) {
      schedule(
          at,
          () -> {
            tasks.add(new Task(cost, action));
            startEventLoop();
          });
    }

    /** Starts the event loop unless it is running. */
    private void startEventLoop() {
      if (!running) {
        running = true;
        runIteration(tasks.size());
      }
    }

    /**
     * Runs the next task of an event loop iteration. An iteration runs the tasks that were pending
     * at its start and then reads a limited number of datagrams.
     *
     * @param remaining the number of remaining tasks in this iteration
     */
    private void runIteration(int remaining) {
      if (remaining > 0) {
        Task task = tasks.poll();
        task.action.run();
        schedule(now + task.cost, () -> runIteration(remaining - 1));
      } else {
        readDatagrams();
      }
    }

    /** Reads datagrams at the end of an event loop iteration. */
    private void readDatagrams() {
      long cost = 0;
      for (int i = 0; i < DATAGRAMS_PER_ITERATION && !datagrams.isEmpty(); i++) {
        readDatagram(datagrams.poll());
        cost += smallEventMicros();
      }
      schedule(
          now + cost,
          () -> {
            if (tasks.isEmpty() && datagrams.isEmpty()) {
              running = false;
            } else {
              runIteration(tasks.size());
            }
          });
    }

    /** Runs the periodic check of the dispatcher. */
    private void tick() {
      dispatcher.tick();
      submitTask(now + TICK_INTERVAL, smallEventMicros(), this::tick);
    }

    /** Sends the next reports to the other routers. */
    private void sendReports() {
      writer.next().forEach(report -> sendDatagram(report.toByteArray()));
      submitTask(now + REPORT_INTERVAL, smallEventMicros(), this::sendReports);
    }

    /** Sends a datagram to all other routers. */
    private void sendDatagram(byte[] data) {
      for (Router peer : routers) {
        if (peer != this
            && data.length <= MAX_DATAGRAM_BYTES
            && random.nextDouble() >= LOSS_PROBABILITY) {
          schedule(now + NETWORK_DELAY, () -> peer.onDatagram(data));
        }
      }
    }

    /** Adds a datagram to the receive buffer, or drops it if the buffer is full. */
    private void onDatagram(byte[] data) {
      if (datagrams.size() < RECEIVE_BUFFER_DATAGRAMS) {
        datagrams.add(data);
        startEventLoop();
      }
    }

    private void readDatagram(byte[] data) {
      try {
        reader.read(LoadReport.parseFrom(data));
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException(e);
      }
    }

    /**
     * Submits a request to the dispatcher, or refuses it if the event loop is delayed.
     *
     * @param request the request
     * @param sentAt the time at which the caller sent the request, in microseconds
     */
    private void accept(Request request, long sentAt) {
      request.sentAtMillis = sentAt / MICROS_PER_MILLI;
      long delay = clock.millis() - request.sentAtMillis;
      boolean underserved = dispatcher.isUnderserved(SERVICE, request.organisation);
      if (delay > MAX_EVENT_LOOP_DELAY_MILLIS * 2
          || delay > MAX_EVENT_LOOP_DELAY_MILLIS && !underserved) {
        dispatcher.onRefused(
            SERVICE, request.organisation, request.prompt, RefusalReason.EVENT_LOOP_DELAY);
        request.refuse(RefusalReason.EVENT_LOOP_DELAY, DispatchLimits.DEFAULT.retryAfterMillis());
        return;
      }
      dispatcher.submit(request);
    }

    /** Returns the processor time of relaying a response event, in microseconds. */
    private long relayMicros() {
      return (long) (eventMicros * RELAY_FRACTION);
    }

    /** Returns the processor time of a report or a periodic check, in microseconds. */
    private long smallEventMicros() {
      return (long) (eventMicros * SMALL_EVENT_FRACTION);
    }
  }

  /** Request of a caller. */
  private final class Request implements Job {
    private final String organisation;

    private final Prompt prompt;

    private final Router router;

    /** Whether the caller retries after a refusal. */
    private final boolean retriable;

    /** Time at which the caller sent the request, in milliseconds. */
    private long sentAtMillis;

    /**
     * Creates a request.
     *
     * @param organisation the name of the organisation
     * @param tokens the prompt tokens
     * @param router the router that receives the request
     * @param retriable whether the caller retries after a refusal
     */
    private Request(String organisation, int tokens, Router router, boolean retriable) {
      this.organisation = organisation;
      int shared = (int) (tokens * SHARED_FRACTION);
      long sharedId = organisation.hashCode() * 31L + random.nextInt(SHARED_SEGMENTS);
      this.prompt =
          new Prompt(
              List.of(
                  new Prompt.Segment(sharedId, shared),
                  new Prompt.Segment(Long.MIN_VALUE + sequence++, tokens - shared)),
              tokens,
              0);
      this.router = router;
      this.retriable = retriable;
    }

    @Override
    public String organisation() {
      return organisation;
    }

    @Override
    public String service() {
      return SERVICE;
    }

    @Override
    public String route() {
      return "r";
    }

    @Override
    public Prompt prompt() {
      return prompt;
    }

    @Override
    public Set<String> triedTargets() {
      return Set.of();
    }

    @Override
    public long dueAt() {
      return sentAtMillis + OBJECTIVE_MILLIS * 85 / 100;
    }

    @Override
    public long localityWaitUntil() {
      return sentAtMillis + OBJECTIVE_MILLIS * 70 / 100;
    }

    @Override
    public boolean isQuarantined() {
      return false;
    }

    @Override
    public boolean isRetry() {
      return false;
    }

    @Override
    public void send(TargetLoad target, double waitMillis) {
      router.writer.onSent(target, prompt);
      final int tokens = target.onSent(prompt);
      Engine engine =
          engines.stream().filter(e -> e.entry.id().equals(target.record().id())).findFirst().get();
      long start = Math.max(now + NETWORK_DELAY, engine.idleAt);
      long readAt = start + (long) (EngineModel.DEFAULT.prefillMillis(tokens) * MICROS_PER_MILLI);
      engine.idleAt = readAt;
      record.onPrefill(start / MICROS_PER_MILLI, readAt / MICROS_PER_MILLI);
      schedule(readAt, () -> onServed(readAt / MICROS_PER_MILLI));
      router.submitTask(
          readAt + NETWORK_DELAY,
          router.eventMicros,
          () -> {
            target.onPrefilled(tokens);
            router.dispatcher.dispatchWaiting(SERVICE);
          });
      for (int i = 1; i < RESPONSE_EVENTS; i++) {
        router.submitTask(
            readAt + GENERATION_TIME * i / RESPONSE_EVENTS + NETWORK_DELAY,
            router.relayMicros(),
            () -> {});
      }
      router.submitTask(
          readAt + GENERATION_TIME + NETWORK_DELAY,
          router.eventMicros,
          () -> {
            target.onEnded(prompt);
            router.dispatcher.dispatchWaiting(SERVICE);
          });
    }

    @Override
    public void refuse(RefusalReason reason, long retryAfterMillis) {
      record.onUnmet(organisation, clock.millis());
      if (retriable) {
        Router other = routers.get(random.nextInt(routers.size()));
        long retryAt = now + retryAfterMillis * MICROS_PER_MILLI;
        schedule(retryAt, () -> sendRequest(organisation, prompt.promptTokens(), other, false));
      }
    }

    /**
     * Records that an engine begins to serve the request.
     *
     * @param atMillis the time, in milliseconds
     */
    private void onServed(long atMillis) {
      record.onServed(organisation, atMillis, prompt.promptTokens());
      if (atMillis - sentAtMillis > OBJECTIVE_MILLIS) {
        record.onUnmet(organisation, atMillis);
      }
    }
  }

  /**
   * Creates a fleet without routers.
   *
   * @param seed the seed of the random number generator
   * @param engineCount the number of engines
   * @param seconds the length of the service record, in seconds
   */
  FleetSimulation(long seed, int engineCount, int seconds) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.record = new ServiceRecord(seconds);
    for (int i = 0; i < engineCount; i++) {
      engines.add(new Engine(i));
    }
  }

  /**
   * Adds a router.
   *
   * @param eventMicros the processor time of a request event, in microseconds
   * @return the router
   */
  Router addRouter(long eventMicros) {
    Router router = new Router("router-" + routers.size(), eventMicros);
    routers.add(router);
    router.submitTask(random.nextInt((int) TICK_INTERVAL), 0, router::tick);
    router.submitTask(random.nextInt((int) REPORT_INTERVAL), 0, router::sendReports);
    return router;
  }

  /**
   * Adds the requests of an organisation, which arrive with exponentially distributed intervals.
   *
   * @param organisation the name of the organisation
   * @param perSecond the mean number of requests per second
   * @param meanTokens the mean number of prompt tokens
   * @param entryRouters the routers to which its callers send requests
   * @param fromMillis the time at which the requests start, in milliseconds
   */
  void addLoad(
      String organisation,
      double perSecond,
      int meanTokens,
      List<Router> entryRouters,
      long fromMillis) {
    long interval =
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * MICROS_PER_MILLI * 1_000);
    schedule(
        Math.max(now, fromMillis * MICROS_PER_MILLI) + interval,
        () -> {
          int tokens = (int) (meanTokens * (0.25 + 1.5 * random.nextDouble()));
          sendRequest(
              organisation, tokens, entryRouters.get(random.nextInt(entryRouters.size())), true);
          addLoad(organisation, perSecond, meanTokens, entryRouters, 0);
        });
  }

  /**
   * Runs the simulation.
   *
   * @param seconds the simulated duration, in seconds
   * @return the demand and service of the organisations
   */
  ServiceRecord run(int seconds) {
    long end = seconds * 1_000 * MICROS_PER_MILLI;
    while (!events.isEmpty() && events.peek().at < end) {
      Event event = events.poll();
      now = Math.max(now, event.at);
      event.action.run();
    }
    return record;
  }

  /**
   * Sends a request to a router.
   *
   * @param organisation the name of the organisation
   * @param tokens the prompt tokens
   * @param router the router
   * @param retriable whether the caller retries after a refusal
   */
  private void sendRequest(String organisation, int tokens, Router router, boolean retriable) {
    long sentAt = now;
    record.onRequest(organisation, clock.millis(), tokens);
    Request request = new Request(organisation, tokens, router, retriable);
    router.submitTask(
        now + NETWORK_DELAY, router.eventMicros, () -> router.accept(request, sentAt));
  }

  /** Schedules an action at the given time, in microseconds. */
  private void schedule(long at, Runnable action) {
    events.add(new Event(at, sequence++, action));
  }
}
