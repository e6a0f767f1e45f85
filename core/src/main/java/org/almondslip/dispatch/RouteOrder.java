package org.almondslip.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.LongSupplier;

/**
 * Order in which the waiting jobs of an organisation are offered.
 *
 * <p>Routes that were served less than the floor come first, then those of higher rank. Among these
 * the route with the smallest served fraction of its demand precedes, so that an overload affects
 * all kinds of requests equally, whatever their length. Each route is first in, first out. Service
 * during the iteration changes the order of the remaining jobs.
 */
final class RouteOrder implements Iterator<Job> {

  /** Rank of routes below the floor, which precedes all others. */
  private static final int FLOOR_RANK = Integer.MIN_VALUE;

  private final long now;

  /** Number of sent jobs of the organisation, which changes the order. */
  private final LongSupplier sentJobs;

  /** Routes with remaining jobs, the next one first. */
  private final List<Remaining> routes = new ArrayList<>();

  /** Number of sent jobs when the routes were sorted. */
  private long sortedAt;

  /**
   * Jobs of a route that were not offered yet.
   *
   * @param route the route
   * @param jobs a copy of its jobs, since the queue changes while jobs are sent
   */
  private record Remaining(RouteDemand route, Deque<Job> jobs) {

    /** Returns the rank in the order, {@link #FLOOR_RANK} below the floor. */
    private int rank(long now) {
      return route.servedFraction(now) < RouteDemand.FLOOR_FRACTION ? FLOOR_RANK : route.priority();
    }
  }

  /**
   * Creates the order of the jobs that wait now.
   *
   * @param all the routes of the organisation
   * @param sentJobs the number of its jobs that were sent so far
   * @param now the current time in milliseconds
   */
  RouteOrder(Collection<RouteDemand> all, LongSupplier sentJobs, long now) {
    this.now = now;
    this.sentJobs = sentJobs;
    for (RouteDemand route : all) {
      if (!route.jobs().isEmpty()) {
        routes.add(new Remaining(route, new ArrayDeque<>(route.jobs())));
      }
    }
    sort();
  }

  @Override
  public boolean hasNext() {
    return !routes.isEmpty();
  }

  @Override
  public Job next() {
    if (routes.isEmpty()) {
      throw new NoSuchElementException();
    }
    if (sentJobs.getAsLong() != sortedAt) {
      sort();
    }
    Remaining first = routes.get(0);
    Job job = first.jobs().poll();
    if (first.jobs().isEmpty()) {
      routes.remove(0);
    }
    return job;
  }

  private void sort() {
    sortedAt = sentJobs.getAsLong();
    if (routes.size() > 1) {
      routes.sort(
          Comparator.comparingInt((Remaining remaining) -> remaining.rank(now))
              .thenComparingDouble(remaining -> remaining.route().servedFraction(now)));
    }
  }
}
