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
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Fleet of routers before engines, in simulated time. Each router handles one event after the
 * other, and each event takes processor time, so a router with a small share of a core falls behind
 * its load. Engines read prompts in the order of their arrival.
 */
final class FleetSimulation {

  /** Name of the service. */
  private static final String SERVICE = "s";

  /** Microseconds in a millisecond. */
  private static final long MILLI = 1_000;

  /** Delay between any two processes in microseconds. */
  private static final long NETWORK = 5 * MILLI;

  /** Interval of reports in microseconds. */
  private static final long REPORT_INTERVAL = 60 * MILLI;

  /** Interval of the checks of a queue in microseconds. */
  private static final long TICK_INTERVAL = 20 * MILLI;

  /** Time that an engine generates after it has read, in microseconds. */
  private static final long GENERATE = 1_500 * MILLI;

  /** Events of an answer that a router passes on. */
  private static final int ANSWER_EVENTS = 30;

  /** Largest datagram that a receiver reads, in bytes; larger ones are cut off. */
  private static final int DATAGRAM_BYTES = 2_048;

  /** Datagrams that a router reads in one turn of its event loop. */
  private static final int DATAGRAMS_A_TURN = 128;

  /** Datagrams that the buffer of a socket holds. */
  private static final int DATAGRAM_BUFFER = 128;

  /** Part of the datagrams that are lost. */
  private static final double LOSS = 0.01;

  /** Waiting time in the event loop above which a router refuses, in milliseconds. */
  private static final long MAX_DELAY_MILLIS = 250;

  /** Objective of the requests in milliseconds. */
  private static final long OBJECTIVE_MILLIS = 1_000;

  /** Part of the tokens of a prompt that other requests of its organisation share. */
  private static final double SHARED_PART = 0.6;

  /** Shared prompts of an organisation. */
  private static final int SHARED_PROMPTS = 12;

  /** Processor time of a report or a check, as a part of that of a request. */
  private static final double SMALL_EVENT_PART = 0.1;

  /** Processor time of passing on an event of an answer, as a part of that of a request. */
  private static final double RELAY_PART = 0.25;

  /** Routers. */
  private final List<Router> routers = new ArrayList<>();

  /** Engines. */
  private final List<Engine> engines = new ArrayList<>();

  /** Events in the order of their time. */
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong((Event event) -> event.at)
              .thenComparingLong(event -> event.sequence));

  /** Source of random numbers. */
  private final UniformRandomProvider random;

  /** What the organisations asked for and were given. */
  private final ServiceRecord record;

  /** Time in microseconds. */
  private long now;

  /** Number of events so far. */
  private long sequence;

  /** Clock of the routers. */
  private final Clock clock =
      new Clock() {
        @Override
        public long millis() {
          return now / MILLI;
        }

        @Override
        public long wallMillis() {
          return millis();
        }
      };

  /**
   * Event that a router has to handle.
   *
   * @param cost the processor time in microseconds
   * @param action what the router does
   */
  private record Task(long cost, Runnable action) {}

  /** Event at a time. */
  private static final class Event {
    /** Time in microseconds. */
    private final long at;

    /** Number of the event. */
    private final long sequence;

    /** What happens. */
    private final Runnable action;

    /**
     * Creates an event.
     *
     * @param at the time in microseconds
     * @param sequence the number of the event
     * @param action what happens
     */
    private Event(long at, long sequence, Runnable action) {
      this.at = at;
      this.sequence = sequence;
      this.action = action;
    }
  }

  /** Engine that reads prompts in the order of their arrival. */
  private static final class Engine {
    /** Entry of the engine. */
    private final TargetRecord entry;

    /** Time at which all prompts are read, in microseconds. */
    private long readUntil;

    /**
     * Creates an idle engine.
     *
     * @param index its number
     */
    private Engine(int index) {
      entry =
          new TargetRecord(
              "t" + index, SERVICE, "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1);
    }
  }

  /** Router with its own view of the fleet. */
  final class Router {
    /** Name. */
    private final String name;

    /** Processor time of a request event in microseconds. */
    private final long eventMicros;

    /** Dispatcher. */
    private final Dispatcher dispatcher;

    /** Writes reports. */
    private final ReportWriter writer;

    /** Reads reports. */
    private final ReportReader reader;

    /** Events that the router has not handled yet. */
    private final Deque<Task> inbox = new ArrayDeque<>();

    /** Datagrams that the router has not read yet. */
    private final Deque<byte[]> datagrams = new ArrayDeque<>();

    /** Whether the event loop runs. */
    private boolean running;

    /**
     * Creates a router.
     *
     * @param name its name
     * @param eventMicros the processor time of a request event in microseconds
     */
    private Router(String name, long eventMicros) {
      this.name = name;
      this.eventMicros = eventMicros;
      this.dispatcher =
          new Dispatcher(
              clock,
              new Placement("dc", EngineModel.DEFAULT),
              EngineModel.DEFAULT,
              DispatchLimits.DEFAULT);
      this.writer = new ReportWriter(name, 1, dispatcher);
      this.reader = new ReportReader(dispatcher, new CrashQuarantine(clock), clock);
      engines.forEach(engine -> dispatcher.add(new TargetLoad(engine.entry, 1_000_000)));
    }

    /**
     * Lets the router handle an event when it has handled all earlier ones.
     *
     * @param at the time of the event in microseconds
     * @param cost the processor time in microseconds
     * @param action what the router does
     */
    private void handle(long at, long cost, Runnable action) {
      schedule(
          at,
          () -> {
            inbox.add(new Task(cost, action));
            wake();
          });
    }

    /** Starts the event loop unless it runs. */
    private void wake() {
      if (!running) {
        running = true;
        turn(inbox.size());
      }
    }

    /**
     * Handles the next event of a turn of the event loop. A turn handles the events that were there
     * at its start, and then some datagrams.
     *
     * @param left the events of this turn that are left
     */
    private void turn(int left) {
      if (left > 0) {
        Task task = inbox.poll();
        task.action.run();
        schedule(now + task.cost, () -> turn(left - 1));
      } else {
        readDatagrams();
      }
    }

    /** Ends a turn of the event loop by reading datagrams. */
    private void readDatagrams() {
      long cost = 0;
      for (int i = 0; i < DATAGRAMS_A_TURN && !datagrams.isEmpty(); i++) {
        receive(datagrams.poll());
        cost += smallEvent();
      }
      schedule(
          now + cost,
          () -> {
            if (inbox.isEmpty() && datagrams.isEmpty()) {
              running = false;
            } else {
              turn(inbox.size());
            }
          });
    }

    /** Checks the queue. */
    private void tick() {
      dispatcher.tick();
      handle(now + TICK_INTERVAL, smallEvent(), this::tick);
    }

    /** Reports to the other routers. */
    private void report() {
      writer.next().forEach(report -> transmit(report.toByteArray()));
      handle(now + REPORT_INTERVAL, smallEvent(), this::report);
    }

    /**
     * Sends a datagram to the other routers.
     *
     * @param data the datagram
     */
    private void transmit(byte[] data) {
      for (Router peer : routers) {
        if (peer != this && data.length <= DATAGRAM_BYTES && random.nextDouble() >= LOSS) {
          schedule(now + NETWORK, () -> peer.onDatagram(data));
        }
      }
    }

    /**
     * Keeps a datagram until the router reads it; datagrams beyond the buffer are lost.
     *
     * @param data the datagram
     */
    private void onDatagram(byte[] data) {
      if (datagrams.size() < DATAGRAM_BUFFER) {
        datagrams.add(data);
        wake();
      }
    }

    /**
     * Reads a datagram.
     *
     * @param data the datagram
     */
    private void receive(byte[] data) {
      try {
        reader.read(LoadReport.parseFrom(data));
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException(e);
      }
    }

    /**
     * Takes a request.
     *
     * @param request the request
     * @param sentAt the time at which the caller sent it, in microseconds
     */
    private void take(Request request, long sentAt) {
      request.arrivedAt = sentAt / MILLI;
      long waited = clock.millis() - request.arrivedAt;
      boolean underserved = dispatcher.isUnderserved(SERVICE, request.organisation);
      if (waited > MAX_DELAY_MILLIS * 2 || waited > MAX_DELAY_MILLIS && !underserved) {
        dispatcher.onRefused(
            SERVICE, request.organisation, request.prompt, RefusalReason.EVENT_LOOP_DELAY);
        request.refuse(RefusalReason.EVENT_LOOP_DELAY, DispatchLimits.DEFAULT.retryAfterMillis());
        return;
      }
      dispatcher.submit(request);
    }

    /**
     * Returns the processor time of passing on an event of an answer.
     *
     * @return the time in microseconds
     */
    private long relayEvent() {
      return (long) (eventMicros * RELAY_PART);
    }

    /**
     * Returns the processor time of a report or a check.
     *
     * @return the time in microseconds
     */
    private long smallEvent() {
      return (long) (eventMicros * SMALL_EVENT_PART);
    }
  }

  /** Request of a caller. */
  private final class Request implements Job {
    /** Name of the organisation. */
    private final String organisation;

    /** Prompt. */
    private final Prompt prompt;

    /** Router that has the request. */
    private final Router router;

    /** Whether the caller comes back after a refusal. */
    private final boolean comesBack;

    /** Time at which the caller sent the request, in milliseconds. */
    private long arrivedAt;

    /**
     * Creates a request.
     *
     * @param organisation the name of the organisation
     * @param tokens the tokens of its prompt
     * @param router the router that has it
     * @param comesBack whether the caller comes back after a refusal
     */
    private Request(String organisation, int tokens, Router router, boolean comesBack) {
      this.organisation = organisation;
      int shared = (int) (tokens * SHARED_PART);
      long sharedId = organisation.hashCode() * 31L + random.nextInt(SHARED_PROMPTS);
      this.prompt =
          new Prompt(
              List.of(
                  new Prompt.Segment(sharedId, shared),
                  new Prompt.Segment(Long.MIN_VALUE + sequence++, tokens - shared)),
              tokens,
              0);
      this.router = router;
      this.comesBack = comesBack;
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
      return arrivedAt + OBJECTIVE_MILLIS * 85 / 100;
    }

    @Override
    public long localityWaitUntil() {
      return arrivedAt + OBJECTIVE_MILLIS * 70 / 100;
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
      long start = Math.max(now + NETWORK, engine.readUntil);
      long read = start + (long) (EngineModel.DEFAULT.prefillMillis(tokens) * MILLI);
      engine.readUntil = read;
      record.onRead(start / MILLI, read / MILLI);
      schedule(read, () -> onBegun(read / MILLI));
      router.handle(
          read + NETWORK,
          router.eventMicros,
          () -> {
            target.onPrefilled(tokens);
            router.dispatcher.dispatchWaiting(SERVICE);
          });
      for (int i = 1; i < ANSWER_EVENTS; i++) {
        router.handle(read + GENERATE * i / ANSWER_EVENTS + NETWORK, router.relayEvent(), () -> {});
      }
      router.handle(
          read + GENERATE + NETWORK,
          router.eventMicros,
          () -> {
            target.onEnded();
            router.dispatcher.dispatchWaiting(SERVICE);
          });
    }

    @Override
    public void refuse(RefusalReason reason, long retryAfterMillis) {
      record.onUnmet(organisation, clock.millis());
      if (comesBack) {
        Router other = routers.get(random.nextInt(routers.size()));
        long at = now + retryAfterMillis * MILLI;
        schedule(at, () -> ask(organisation, prompt.promptTokens(), other, false));
      }
    }

    /**
     * Notes that an engine has begun to serve the request.
     *
     * @param at the time in milliseconds
     */
    private void onBegun(long at) {
      record.onGiven(organisation, at, prompt.promptTokens());
      if (at - arrivedAt > OBJECTIVE_MILLIS) {
        record.onUnmet(organisation, at);
      }
    }
  }

  /**
   * Creates a fleet without routers.
   *
   * @param seed the seed of the random numbers
   * @param engineCount the number of engines
   * @param seconds the length of the record in seconds
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
   * @param eventMicros the processor time of a request event in microseconds
   * @return the router
   */
  Router addRouter(long eventMicros) {
    Router router = new Router("router-" + routers.size(), eventMicros);
    routers.add(router);
    router.handle(random.nextInt((int) TICK_INTERVAL), 0, router::tick);
    router.handle(random.nextInt((int) REPORT_INTERVAL), 0, router::report);
    return router;
  }

  /**
   * Lets an organisation send requests at random times.
   *
   * @param organisation the name of the organisation
   * @param perSecond the requests a second
   * @param meanTokens the mean tokens of a prompt
   * @param at the routers that its callers reach
   * @param fromMillis the time of the first request in milliseconds
   */
  void load(
      String organisation, double perSecond, int meanTokens, List<Router> at, long fromMillis) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * MILLI * 1_000);
    schedule(
        Math.max(now, fromMillis * MILLI) + gap,
        () -> {
          int tokens = (int) (meanTokens * (0.25 + 1.5 * random.nextDouble()));
          ask(organisation, tokens, at.get(random.nextInt(at.size())), true);
          load(organisation, perSecond, meanTokens, at, 0);
        });
  }

  /**
   * Plays the fleet.
   *
   * @param seconds for how long, in seconds
   * @return what the organisations asked for and were given
   */
  ServiceRecord play(int seconds) {
    long end = seconds * 1_000 * MILLI;
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
   * @param tokens the tokens of its prompt
   * @param router the router
   * @param comesBack whether the caller comes back after a refusal
   */
  private void ask(String organisation, int tokens, Router router, boolean comesBack) {
    long sentAt = now;
    record.onAsked(organisation, clock.millis(), tokens);
    Request request = new Request(organisation, tokens, router, comesBack);
    router.handle(now + NETWORK, router.eventMicros, () -> router.take(request, sentAt));
  }

  /**
   * Schedules an event.
   *
   * @param at the time in microseconds
   * @param action what happens
   */
  private void schedule(long at, Runnable action) {
    events.add(new Event(at, sequence++, action));
  }
}
