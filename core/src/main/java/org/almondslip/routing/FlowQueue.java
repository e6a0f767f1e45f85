package org.almondslip.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.catalog.Flow;

/** FIFO queue of the waiting requests of a flow, in which retries go to the front. */
final class FlowQueue {

  private final Flow flow;

  private final Deque<PendingRequest> requests = new ArrayDeque<>();

  /** Rate at which requests are dispatched. */
  private final ServiceRate rate = new ServiceRate();

  /**
   * Time since which the flow has no candidate agent, in milliseconds; negative when it has one.
   */
  private long unavailableSince = -1;

  /** Time of the last request for more connections, in milliseconds. */
  private long connectionsRequestedAt = Long.MIN_VALUE / 2;

  /** Time at which the offers must be planned again, in milliseconds. */
  private long planAt;

  /** Number of waiting requests that have failed at a target. */
  private int retriedCount;

  FlowQueue(Flow flow) {
    this.flow = flow;
  }

  Flow flow() {
    return flow;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  int size() {
    return requests.size();
  }

  /**
   * Returns whether nothing waits.
   *
   * @return true when the queue is empty
   */
  boolean isEmpty() {
    return requests.isEmpty();
  }

  /**
   * Adds a new request at the end.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  void add(PendingRequest pending, long now) {
    if (requests.isEmpty()) {
      rate.onBacklog(now);
    }
    requests.addLast(pending);
  }

  /**
   * Adds a retried request at the front.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  void addFirst(PendingRequest pending, long now) {
    if (requests.isEmpty()) {
      rate.onBacklog(now);
    }
    pending.onRequeued(now);
    requests.addFirst(pending);
    retriedCount++;
  }

  /**
   * Returns the request at the front of the queue.
   *
   * @return the request, or empty when nothing waits
   */
  Optional<PendingRequest> head() {
    return Optional.ofNullable(requests.peekFirst());
  }

  /**
   * Returns the first request that matches a condition.
   *
   * @param condition the condition
   * @return the request, or empty when none does
   */
  Optional<PendingRequest> first(Predicate<PendingRequest> condition) {
    return requests.stream().filter(condition).findFirst();
  }

  /**
   * Returns the number of requests that an agent may receive.
   *
   * @param eligible the condition; it must hold for all requests that have never been attempted
   * @return the number
   */
  int countEligible(Predicate<PendingRequest> eligible) {
    return retriedCount == 0 ? requests.size() : (int) requests.stream().filter(eligible).count();
  }

  /**
   * Removes a request that is being dispatched.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  void dispatch(PendingRequest pending, long now) {
    if (remove(pending)) {
      rate.onDispatch(now);
    }
  }

  /**
   * Removes a request that is no longer waiting.
   *
   * @param pending the request
   * @return true when it was waiting
   */
  boolean remove(PendingRequest pending) {
    boolean removed = requests.removeFirstOccurrence(pending);
    if (removed && pending.attempts() > 0) {
      retriedCount--;
    }
    return removed;
  }

  /**
   * Removes all requests that match a condition.
   *
   * @param condition the condition
   * @return the removed requests in order
   */
  List<PendingRequest> removeIf(Predicate<PendingRequest> condition) {
    List<PendingRequest> removed = new ArrayList<>();
    for (Iterator<PendingRequest> each = requests.iterator(); each.hasNext(); ) {
      PendingRequest pending = each.next();
      if (condition.test(pending)) {
        each.remove();
        retriedCount -= pending.attempts() > 0 ? 1 : 0;
        removed.add(pending);
      }
    }
    return removed;
  }

  /**
   * Estimates the queueing delay of a request that is added now.
   *
   * @return the wait in milliseconds, 0 while no rate is known
   */
  long waitMillis() {
    return rate.waitMillis(requests.size());
  }

  /**
   * Records whether the flow has a candidate agent.
   *
   * @param available whether one can
   * @param now the current time, in milliseconds
   */
  void recordAvailability(boolean available, long now) {
    if (available) {
      unavailableSince = -1;
    } else if (unavailableSince < 0) {
      unavailableSince = now;
    }
  }

  /**
   * Returns whether the flow has had no candidate agent for a given time.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the time, in milliseconds
   * @return true when it had none for at least that time
   */
  boolean unavailableFor(long now, long limitMillis) {
    return unavailableSince >= 0 && now - unavailableSince >= limitMillis;
  }

  /**
   * Returns whether a request for more connections is due, and if so records it.
   *
   * @param now the current time, in milliseconds
   * @param intervalMillis the minimum interval between two requests, in milliseconds
   * @return true when a request is due
   */
  boolean tryRequestConnections(long now, long intervalMillis) {
    if (now - connectionsRequestedAt < intervalMillis) {
      return false;
    }
    connectionsRequestedAt = now;
    return true;
  }

  /**
   * Sets the time at which the offers must be planned again.
   *
   * @param time the time in milliseconds
   */
  void planAt(long time) {
    planAt = time;
  }

  /**
   * Returns whether the offers are due to be planned again.
   *
   * @param now the current time, in milliseconds
   * @return true when requests wait and the planned time has been reached
   */
  boolean isPlanDue(long now) {
    return !requests.isEmpty() && now >= planAt;
  }
}
