package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import org.almondslip.directory.TargetRecord;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Requests of several organisations and routes to one router, whose engines prefill in the order in
 * which requests were sent. Callers may return once after a refusal if the advised delay is within
 * a third of the time that they have left.
 */
final class OverloadLoad {

  /** Objective of the requests in milliseconds. */
  static final long OBJECTIVE_MILLIS = 1_000;

  /** Time that callers wait for a response, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 15_000;

  /** Length of a step of the load, in milliseconds. */
  private static final long STEP_MILLIS = 10;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Number of distinct shared segments of a route. */
  private static final int SHARED_SEGMENTS = 4;

  private final Clock.Manual clock = new Clock.Manual(1_000);

  private final Dispatcher dispatcher =
      new Dispatcher(
          clock,
          new Placement("dc", EngineModel.DEFAULT),
          EngineModel.DEFAULT,
          DispatchLimits.DEFAULT.withSwitches(true, false),
          RandomSource.XO_RO_SHI_RO_128_PP.create(7));

  private final List<Source> sources = new ArrayList<>();

  /** Engines by target id. */
  private final Map<String, Engine> engines = new HashMap<>();

  /** Returns of refused callers, the earliest first. */
  private final PriorityQueue<Return> returns =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));

  /** Requests of callers that have returned. */
  private final List<TestJob> returned = new ArrayList<>();

  /** Returns in each tenth of a second. */
  private final Map<Long, Integer> returnsByTenth = new TreeMap<>();

  /** Time of the first service by organisation, in milliseconds. */
  private final Map<String, Long> firstSentAt = new HashMap<>();

  /** Whether refused callers return. */
  private boolean returning;

  /** Times between arrival and refusal in milliseconds. */
  private final List<Long> refusalMillis = new ArrayList<>();

  /** Longest time between the arrival of a request and the end of its prefill, in milliseconds. */
  private long longestDelayMillis;

  /** Return of a caller to the router. */
  private record Return(long at, Source source, long deadlineAt) {}

  /** Requests of one route of an organisation. */
  private static final class Source {
    private final String organisation;

    private final String route;

    private final int rank;

    private final int tokens;

    private double perSecond;

    /** Part of the next request, so that sources do not send at the same time. */
    private double due;

    /** Number of requests so far. */
    private long count;

    private List<TestJob> jobs = new ArrayList<>();

    private Source(String organisation, String route, int rank, int tokens, double perSecond) {
      this.organisation = organisation;
      this.route = route;
      this.rank = rank;
      this.tokens = tokens;
      this.perSecond = perSecond;
      this.due = Math.floorMod((organisation + route).hashCode(), 1_000) / 1_000.0;
    }

    /** Returns the number of requests in the next step. */
    private int next() {
      due += perSecond * STEP_MILLIS / MILLIS_PER_SECOND;
      int requests = (int) due;
      due -= requests;
      return requests;
    }

    /** Returns the number of requests that were sent or refused, not those that still wait. */
    private long decided() {
      return jobs.stream()
          .filter(job -> job.target().isPresent() || job.refusal().isPresent())
          .count();
    }

    private long sent() {
      return jobs.stream().filter(job -> job.target().isPresent()).count();
    }
  }

  /** Engine that prefills one prompt after the other. */
  private final class Engine {
    private final Queue<TestJob> jobs = new ArrayDeque<>();

    /** Tokens of the first prompt that are prefilled already. */
    private double prefilled;

    private void advance(long millis) {
      prefilled += millis * EngineModel.DEFAULT.prefillTokensPerMilli();
      while (!jobs.isEmpty() && prefilled >= jobs.peek().uncachedTokens()) {
        prefilled -= jobs.peek().uncachedTokens();
        longestDelayMillis = Math.max(longestDelayMillis, clock.millis() - jobs.peek().arrivedAt());
        jobs.poll().end();
      }
      prefilled = jobs.isEmpty() ? 0 : prefilled;
    }
  }

  /**
   * Creates a load without requests.
   *
   * @param engineCount the number of engines
   */
  OverloadLoad(int engineCount) {
    for (int i = 0; i < engineCount; i++) {
      TargetRecord record =
          new TargetRecord("t" + i, "s", "127.0.0.1", 80, "dc", 64, TargetRecord.State.READY, 0, 1);
      engines.put(record.id(), new Engine());
      dispatcher.add(new TargetLoad(record, 1_000_000));
    }
  }

  /**
   * Adds requests.
   *
   * @param organisation the name of the organisation
   * @param route the name of the route
   * @param rank the rank
   * @param tokens the prompt tokens of each request
   * @param perSecond the requests per second
   * @return this load
   */
  OverloadLoad add(String organisation, String route, int rank, int tokens, double perSecond) {
    sources.add(new Source(organisation, route, rank, tokens, perSecond));
    return this;
  }

  /**
   * Changes the rates of an organisation.
   *
   * @param organisation the name of the organisation
   * @param factor the factor on the present rates
   */
  void scale(String organisation, double factor) {
    for (Source source : sources) {
      source.perSecond *= source.organisation.equals(organisation) ? factor : 1;
    }
  }

  /**
   * Lets refused callers return once, which adds to the load.
   *
   * @return this load
   */
  OverloadLoad withReturns() {
    returning = true;
    return this;
  }

  /** Forgets the outcome of all requests so far. */
  void clear() {
    sources.forEach(source -> source.jobs = new ArrayList<>());
    returned.clear();
    returnsByTenth.clear();
    refusalMillis.clear();
  }

  /** Returns the router. */
  Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Submits the requests of a period, evenly spaced.
   *
   * @param millis the length of the period in milliseconds
   */
  void run(long millis) {
    long end = clock.millis() + millis;
    while (clock.millis() < end) {
      for (Source source : sources) {
        for (int i = source.next(); i > 0; i--) {
          long deadlineAt = clock.millis() + TIMEOUT_MILLIS;
          source.jobs.add(
              submit(source, deadlineAt, delay -> onRefused(source, deadlineAt, delay)));
        }
      }
      while (!returns.isEmpty() && returns.peek().at() <= clock.millis()) {
        Return next = returns.poll();
        returnsByTenth.merge(next.at() / 100, 1, Integer::sum);
        returned.add(submit(next.source(), next.deadlineAt(), delay -> {}));
      }
      clock.advance(STEP_MILLIS);
      engines.values().forEach(engine -> engine.advance(STEP_MILLIS));
      dispatcher.tick();
    }
  }

  private TestJob submit(Source source, long deadlineAt, LongConsumer refused) {
    long arrivedAt = clock.millis();
    TestJob job =
        new TestJob(
                source.organisation,
                source.route,
                (source.organisation + source.route).hashCode() * 31L
                    + source.count++ % SHARED_SEGMENTS,
                source.tokens,
                arrivedAt,
                OBJECTIVE_MILLIS,
                this::onSent)
            .withPriority(source.rank)
            .withCaller(
                deadlineAt,
                delay -> {
                  refusalMillis.add(clock.millis() - arrivedAt);
                  refused.accept(delay);
                });
    dispatcher.submit(job);
    return job;
  }

  private void onSent(TestJob job) {
    firstSentAt.putIfAbsent(job.organisation(), clock.millis());
    engines.get(job.target().orElseThrow().record().id()).jobs.add(job);
  }

  private void onRefused(Source source, long deadlineAt, long delayMillis) {
    long now = clock.millis();
    if (returning && delayMillis <= (deadlineAt - now) / 3) {
      returns.add(new Return(now + delayMillis, source, deadlineAt));
    }
  }

  /** Returns the longest time between arrival and end of prefill, in milliseconds. */
  long longestDelayMillis() {
    return longestDelayMillis;
  }

  /** Returns the fraction of refusals within a time of the arrival, in milliseconds. */
  double refusedWithin(long millis) {
    return (double) refusalMillis.stream().filter(time -> time <= millis).count()
        / refusalMillis.size();
  }

  /** Returns the fraction of the callers that returned after a refusal which were then served. */
  double servedFractionOfReturns() {
    return (double) returned.stream().filter(job -> job.target().isPresent()).count()
        / returned.size();
  }

  /** Returns the largest number of returns in a tenth of a second, relative to the mean. */
  double peakOfReturns() {
    return returnsByTenth.values().stream().mapToInt(count -> count).max().orElse(0)
        * (double) returnsByTenth.size()
        / returned.size();
  }

  /**
   * Returns the time between the first request of an organisation and its first request that was
   * sent.
   *
   * @param organisation the name of the organisation
   * @return the time in milliseconds, {@link Long#MAX_VALUE} if none was sent
   */
  long millisToFirstService(String organisation) {
    long arrivedAt =
        sources.stream()
            .filter(source -> source.organisation.equals(organisation))
            .mapToLong(source -> source.jobs.get(0).arrivedAt())
            .min()
            .orElseThrow();
    return firstSentAt.containsKey(organisation)
        ? firstSentAt.get(organisation) - arrivedAt
        : Long.MAX_VALUE;
  }

  /** Returns the fraction of the tokens of an organisation that were sent at once. */
  double servedFraction(String organisation) {
    return servedFraction(source -> source.organisation.equals(organisation));
  }

  /** Returns the fraction of the requests of a route of an organisation that were sent at once. */
  double servedFraction(String organisation, String route) {
    return servedFraction(
        source -> source.organisation.equals(organisation) && source.route.equals(route));
  }

  /** Returns the fraction of the tokens of a route of some organisations that were sent at once. */
  double servedFraction(Predicate<String> organisations, String route) {
    return servedFraction(
        source -> organisations.test(source.organisation) && source.route.equals(route));
  }

  private double servedFraction(Predicate<Source> predicate) {
    List<Source> found = sources.stream().filter(predicate).toList();
    double requested = found.stream().mapToDouble(s -> (double) s.decided() * s.tokens).sum();
    return found.stream().mapToDouble(s -> (double) s.sent() * s.tokens).sum() / requested;
  }
}
