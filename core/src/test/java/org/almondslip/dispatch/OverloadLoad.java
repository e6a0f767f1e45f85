package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Predicate;
import org.almondslip.directory.TargetRecord;
import org.almondslip.placement.EngineModel;
import org.almondslip.placement.Placement;
import org.almondslip.placement.TargetLoad;
import org.almondslip.time.Clock;

/**
 * Requests of several organisations and routes at steady rates to one router, whose engines prefill
 * in the order in which requests were sent.
 */
final class OverloadLoad {

  /** Objective of the requests in milliseconds. */
  static final long OBJECTIVE_MILLIS = 1_000;

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
          DispatchLimits.DEFAULT.withSwitches(true, false));

  private final List<Source> sources = new ArrayList<>();

  /** Engines by target id. */
  private final Map<String, Engine> engines = new HashMap<>();

  /** Steady requests of one route of an organisation. */
  private static final class Source {
    private final String organisation;

    private final String route;

    private final int rank;

    private final int tokens;

    private final double perSecond;

    private final List<TestJob> jobs = new ArrayList<>();

    private Source(String organisation, String route, int rank, int tokens, double perSecond) {
      this.organisation = organisation;
      this.route = route;
      this.rank = rank;
      this.tokens = tokens;
      this.perSecond = perSecond;
    }

    /** Returns the number of requests in the first milliseconds of a period. */
    private long requests(long millis) {
      return (long) (millis * perSecond / MILLIS_PER_SECOND);
    }

    private long sent() {
      return jobs.stream().filter(job -> job.target().isPresent()).count();
    }
  }

  /** Longest time between the arrival of a request and the end of its prefill, in milliseconds. */
  private long longestDelayMillis;

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
    for (long at = STEP_MILLIS; at <= millis; at += STEP_MILLIS) {
      for (Source source : sources) {
        for (long i = source.requests(at - STEP_MILLIS); i < source.requests(at); i++) {
          submit(source, i);
        }
      }
      clock.advance(STEP_MILLIS);
      engines.values().forEach(engine -> engine.advance(STEP_MILLIS));
      dispatcher.tick();
    }
  }

  private void submit(Source source, long index) {
    TestJob job =
        new TestJob(
                source.organisation,
                source.route,
                (source.organisation + source.route).hashCode() * 31L + index % SHARED_SEGMENTS,
                source.tokens,
                clock.millis(),
                OBJECTIVE_MILLIS,
                sent -> engines.get(sent.target().orElseThrow().record().id()).jobs.add(sent))
            .withPriority(source.rank);
    source.jobs.add(job);
    dispatcher.submit(job);
  }

  /** Returns the longest time between arrival and end of prefill, in milliseconds. */
  long longestDelayMillis() {
    return longestDelayMillis;
  }

  /** Returns the fraction of the tokens of an organisation that were sent. */
  double servedFraction(String organisation) {
    return servedFraction(source -> source.organisation.equals(organisation));
  }

  /** Returns the fraction of the requests of a route of an organisation that were sent. */
  double servedFraction(String organisation, String route) {
    return servedFraction(
        source -> source.organisation.equals(organisation) && source.route.equals(route));
  }

  private double servedFraction(Predicate<Source> predicate) {
    List<Source> found = sources.stream().filter(predicate).toList();
    double requested = found.stream().mapToDouble(s -> (double) s.jobs.size() * s.tokens).sum();
    return found.stream().mapToDouble(s -> (double) s.sent() * s.tokens).sum() / requested;
  }
}
