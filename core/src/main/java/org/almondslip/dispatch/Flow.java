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

  /** Time constant of the service of routes, in milliseconds. */
  private static final double SERVICE_MILLIS = 4_000;

  /** Service below which an idle flow is forgotten, in tokens. */
  private static final double FORGOTTEN_TOKENS = 1;

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
   * Removes a job.
   *
   * @param job the job
   * @return whether it was waiting
   */
  boolean remove(Job job) {
    Lane lane = lanes.get(job.route());
    boolean removed = lane != null && lane.jobs.remove(job);
    if (removed) {
      lane.waitingTokens -= FairQueue.cost(job);
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
   * Charges a route for service of this router.
   *
   * @param route the name of the route
   * @param tokens the service in tokens
   * @param now the current time in milliseconds
   */
  void chargeRoute(String route, long tokens, long now) {
    lanes.computeIfAbsent(route, name -> new Lane()).received.add(tokens, now);
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
    return lanes.values().stream()
        .allMatch(lane -> lane.jobs.isEmpty() && lane.received.at(now) < FORGOTTEN_TOKENS);
  }
}
