package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Jobs of one organisation. Its routes share its service evenly, so that short requests do not wait
 * behind long prompts; the jobs of a route keep their order.
 */
final class Flow {

  /** Time constant of the service that counts, in milliseconds. */
  private static final double SERVICE_MILLIS = 4_000;

  /** Service below which an idle flow is forgotten, in tokens. */
  private static final double FORGOTTEN_TOKENS = 1;

  /** Service that all routers gave the organisation, in tokens. */
  private final DecayingSum received = new DecayingSum(SERVICE_MILLIS);

  /**
   * Part of what an organisation asks for below which it is underserved. Half of it is what each
   * organisation is promised; the rest covers jobs that wait for their parts.
   */
  private static final double UNDERSERVED_PART = 0.7;

  /**
   * Time for which an organisation whose job was refused counts as waiting, in milliseconds. It
   * covers a few reports between routers.
   */
  private static final long REFUSAL_MILLIS = 250;

  /** Time of the last refusal in milliseconds. */
  private long refusedAt = Long.MIN_VALUE / 2;

  /** Service that the organisation asked this router for, in tokens. */
  private final DecayingSum asked = new DecayingSum(SERVICE_MILLIS);

  /** Service that this router gave the organisation, in tokens. */
  private final DecayingSum given = new DecayingSum(SERVICE_MILLIS);

  /** Lanes by route. */
  private final Map<String, Lane> lanes = new HashMap<>();

  /** Jobs of one route. */
  private static final class Lane {
    /** Waiting jobs. */
    private final Deque<Job> jobs = new ArrayDeque<>();

    /** Service that this router gave the route, in tokens. */
    private final DecayingSum received = new DecayingSum(SERVICE_MILLIS);

    /** Tokens of the waiting jobs. */
    private long waitingTokens;
  }

  /**
   * Adds a job at the end of its route.
   *
   * @param job the job
   */
  void add(Job job) {
    Lane lane = lanes.computeIfAbsent(job.route(), route -> new Lane());
    lane.jobs.addLast(job);
    lane.waitingTokens += FairQueue.cost(job);
  }

  /**
   * Removes the jobs that match.
   *
   * @param predicate the condition
   * @return the removed jobs
   */
  List<Job> removeIf(Predicate<Job> predicate) {
    List<Job> removed = new ArrayList<>();
    for (Lane lane : lanes.values()) {
      for (Iterator<Job> jobs = lane.jobs.iterator(); jobs.hasNext(); ) {
        Job job = jobs.next();
        if (predicate.test(job)) {
          jobs.remove();
          lane.waitingTokens -= FairQueue.cost(job);
          removed.add(job);
        }
      }
    }
    return removed;
  }

  /**
   * Returns all jobs.
   *
   * @param now the current time in milliseconds
   * @return the jobs, those of the route with the least service first
   */
  List<Job> ordered(long now) {
    List<Lane> waiting = new ArrayList<>(lanes.values());
    waiting.sort(Comparator.comparingDouble(lane -> lane.received.at(now)));
    List<Job> ordered = new ArrayList<>();
    waiting.forEach(lane -> ordered.addAll(lane.jobs));
    return ordered;
  }

  /**
   * Charges the organisation for service of any router.
   *
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void charge(long tokens, long now) {
    received.add(tokens, now);
  }

  /**
   * Charges a route for service of this router.
   *
   * @param route the name of the route
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void chargeRoute(String route, long tokens, long now) {
    lanes.computeIfAbsent(route, name -> new Lane()).received.add(tokens, now);
    given.add(tokens, now);
  }

  /**
   * Notes that the organisation asks for service.
   *
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void onAsked(long tokens, long now) {
    asked.add(tokens, now);
  }

  /**
   * Notes that a job was refused.
   *
   * @param now the current time in milliseconds
   */
  void onRefused(long now) {
    refusedAt = now;
  }

  /**
   * Returns whether the organisation asks for more than it gets.
   *
   * @param now the current time in milliseconds
   * @return true when jobs wait or one was refused lately
   */
  boolean isBacklogged(long now) {
    return !isEmpty() || now - refusedAt < REFUSAL_MILLIS;
  }

  /**
   * Returns whether this router gave the organisation clearly less than it asked for lately.
   *
   * @param now the current time in milliseconds
   * @return true when it did
   */
  boolean isUnderserved(long now) {
    return given.at(now) < asked.at(now) * UNDERSERVED_PART;
  }

  /**
   * Returns the service that counts.
   *
   * @param now the current time in milliseconds
   * @return the service in tokens
   */
  double received(long now) {
    return received.at(now);
  }

  /**
   * Returns the tokens that a route waits for.
   *
   * @param route the name of the route
   * @return the tokens
   */
  long waitingTokens(String route) {
    Lane lane = lanes.get(route);
    return lane == null ? 0 : lane.waitingTokens;
  }

  /**
   * Returns the number of routes with waiting jobs.
   *
   * @return the number
   */
  int waitingRoutes() {
    return (int) lanes.values().stream().filter(lane -> !lane.jobs.isEmpty()).count();
  }

  /**
   * Returns whether nothing waits.
   *
   * @return true when no job waits
   */
  boolean isEmpty() {
    return lanes.values().stream().allMatch(lane -> lane.jobs.isEmpty());
  }

  /**
   * Returns whether the flow can be forgotten.
   *
   * @param now the current time in milliseconds
   * @return true when nothing waits and no service counts
   */
  boolean isIdle(long now) {
    return isEmpty() && received.at(now) < FORGOTTEN_TOKENS && asked.at(now) < FORGOTTEN_TOKENS;
  }
}
