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
 * Queue of the jobs of one organisation. Its routes share its service evenly, so that short
 * requests are not delayed by the long prompts of another route; each route is first in, first out.
 */
final class OrganisationQueue {

  /** Time constant of the decay of a route's service, in milliseconds. */
  private static final double DECAY_MILLIS = 4_000;

  /** Service in tokens below which an empty route is idle. */
  private static final double IDLE_TOKENS = 1;

  /** Queues by route. */
  private final Map<String, RouteQueue> routes = new HashMap<>();

  /** Jobs and recent service of one route. */
  private static final class RouteQueue {
    private final Deque<Job> jobs = new ArrayDeque<>();

    /** Tokens of the route that this router sent to targets. */
    private final DecayingSum served = new DecayingSum(DECAY_MILLIS);

    private long waitingTokens;
  }

  /**
   * Appends a job to the queue of its route.
   *
   * @param job the job
   */
  void add(Job job) {
    RouteQueue queue = routes.computeIfAbsent(job.route(), route -> new RouteQueue());
    queue.jobs.addLast(job);
    queue.waitingTokens += FairQueue.cost(job);
  }

  /**
   * Removes a job.
   *
   * @param job the job
   * @return whether it was waiting
   */
  boolean remove(Job job) {
    RouteQueue queue = routes.get(job.route());
    boolean removed = queue != null && queue.jobs.remove(job);
    if (removed) {
      queue.waitingTokens -= FairQueue.cost(job);
    }
    return removed;
  }

  /**
   * Removes the jobs that match.
   *
   * @param predicate the condition
   * @return the removed jobs
   */
  List<Job> removeIf(Predicate<Job> predicate) {
    List<Job> removed = new ArrayList<>();
    for (RouteQueue queue : routes.values()) {
      for (Iterator<Job> jobs = queue.jobs.iterator(); jobs.hasNext(); ) {
        Job job = jobs.next();
        if (predicate.test(job)) {
          jobs.remove();
          queue.waitingTokens -= FairQueue.cost(job);
          removed.add(job);
        }
      }
    }
    return removed;
  }

  /**
   * Returns all waiting jobs.
   *
   * @param now the current time in milliseconds
   * @return a new list of the jobs, starting with those of the route with the least recent service
   */
  List<Job> ordered(long now) {
    List<RouteQueue> queues = new ArrayList<>(routes.values());
    queues.sort(Comparator.comparingDouble(queue -> queue.served.at(now)));
    List<Job> ordered = new ArrayList<>();
    queues.forEach(queue -> ordered.addAll(queue.jobs));
    return ordered;
  }

  /**
   * Charges service to a route.
   *
   * @param route the name of the route
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void charge(String route, long tokens, long now) {
    routes.computeIfAbsent(route, name -> new RouteQueue()).served.add(tokens, now);
  }

  /**
   * Returns the cost of the waiting jobs of a route.
   *
   * @param route the name of the route
   * @return the cost in tokens, 0 if the route is unknown
   */
  long waitingTokens(String route) {
    RouteQueue queue = routes.get(route);
    return queue == null ? 0 : queue.waitingTokens;
  }

  /** Returns the number of routes with waiting jobs. */
  int waitingRoutes() {
    return (int) routes.values().stream().filter(queue -> !queue.jobs.isEmpty()).count();
  }

  /** Returns whether no job waits. */
  boolean isEmpty() {
    return routes.values().stream().allMatch(queue -> queue.jobs.isEmpty());
  }

  /**
   * Returns whether no job waits and the recent service of all routes is negligible.
   *
   * @param now the current time in milliseconds
   * @return true if the queue can be discarded
   */
  boolean isIdle(long now) {
    return routes.values().stream()
        .allMatch(queue -> queue.jobs.isEmpty() && queue.served.at(now) < IDLE_TOKENS);
  }
}
