package org.almondslip.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Queue of the jobs of one organisation. Its routes of equal rank are served the same fraction of
 * their demand, so that a shortage is not borne by the route with the longest prompts alone. Higher
 * ranks go first; lower ranks keep a floor. Each route is first in, first out.
 */
final class OrganisationQueue {

  /** Routes by name. */
  private final Map<String, RouteDemand> routes = new HashMap<>();

  /** Number of jobs that were sent so far. */
  private long sentJobs;

  /**
   * Records a new request, whether it is sent, queued or refused.
   *
   * @param job the job
   * @param now the current time in milliseconds
   */
  void onRequested(Job job, long now) {
    route(job.route()).onRequested(job.priority(), FairQueue.cost(job), now);
  }

  /**
   * Appends a job to the queue of its route.
   *
   * @param job the job
   */
  void add(Job job) {
    route(job.route()).add(job);
  }

  /**
   * Removes a job.
   *
   * @param job the job
   * @return whether it was waiting
   */
  boolean remove(Job job) {
    RouteDemand route = routes.get(job.route());
    return route != null && route.remove(job);
  }

  /**
   * Removes the jobs that match.
   *
   * @param predicate the condition
   * @return the removed jobs
   */
  List<Job> removeIf(Predicate<Job> predicate) {
    List<Job> removed = new ArrayList<>();
    for (RouteDemand route : routes.values()) {
      for (Iterator<Job> jobs = route.jobs().iterator(); jobs.hasNext(); ) {
        Job job = jobs.next();
        if (predicate.test(job)) {
          jobs.remove();
          route.onRemoved(job);
          removed.add(job);
        }
      }
    }
    return removed;
  }

  /**
   * Returns all waiting jobs in the order in which they are offered.
   *
   * @param now the current time in milliseconds
   * @return the jobs that wait now
   */
  Iterator<Job> ordered(long now) {
    return new RouteOrder(routes.values(), () -> sentJobs, now);
  }

  /**
   * Charges service to a route.
   *
   * @param route the name of the route
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void charge(String route, long tokens, long now) {
    sentJobs++;
    route(route).onServed(tokens, now);
  }

  /**
   * Estimates the tokens that are served before a new job, which has been recorded as requested.
   *
   * @param job the job
   * @param now the current time in milliseconds
   * @return the tokens of its route and of the routes that precede it until the job is due
   */
  double tokensAhead(Job job, long now) {
    RouteDemand own = route(job.route());
    long millis = job.dueAt() - now;
    double level = own.servedFractionWithWaiting(now);
    double tokens = own.waitingTokens();
    for (RouteDemand other : routes.values()) {
      if (other != own) {
        tokens += tokensAhead(other, own.priority(), level, millis, now);
      }
    }
    return tokens;
  }

  /**
   * Estimates the tokens that another route is served until a route reaches a served fraction.
   *
   * @param other the other route
   * @param priority the rank of the route
   * @param level its served fraction
   * @param millis the time within which further requests arrive, in milliseconds
   * @param now the current time in milliseconds
   */
  private static double tokensAhead(
      RouteDemand other, int priority, double level, long millis, long now) {
    boolean belowFloor = level < RouteDemand.FLOOR_FRACTION;
    if (!belowFloor && other.priority() < priority) {
      return other.tokensWithin(millis, now);
    }
    boolean lower = !belowFloor && other.priority() > priority;
    return other.tokensUpTo(lower ? RouteDemand.FLOOR_FRACTION : level, millis, now);
  }

  /** Returns whether no job waits. */
  boolean isEmpty() {
    return routes.values().stream().allMatch(route -> route.jobs().isEmpty());
  }

  /**
   * Returns whether no job waits, and demand and service of all routes are negligible.
   *
   * @param now the current time in milliseconds
   * @return true if the queue can be discarded
   */
  boolean isIdle(long now) {
    return routes.values().stream().allMatch(route -> route.isIdle(now));
  }

  private RouteDemand route(String name) {
    return routes.computeIfAbsent(name, key -> new RouteDemand());
  }
}
