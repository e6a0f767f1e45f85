package org.almondslip.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.catalog.Flow;

/** Waiting requests of one flow, first in first out except that retries come first. */
final class FlowQueue {

  /** Flow of the queue. */
  private final Flow flow;

  /** Waiting requests. */
  private final Deque<PendingRequest> requests = new ArrayDeque<>();

  /** Rate at which requests leave for agents. */
  private final ServiceRate rate = new ServiceRate();

  /** Time since which no agent can take the flow, in milliseconds; negative when one can. */
  private long unavailableSince = -1;

  /** Time of the last request for more connections, in milliseconds. */
  private long connectionsRequestedAt = Long.MIN_VALUE / 2;

  /** Time at which the offers must be planned again, in milliseconds. */
  private long planAt;

  /** Number of waiting requests that have failed at a target. */
  private int retriedCount;

  /**
   * Creates an empty queue.
   *
   * @param flow the flow
   */
  FlowQueue(Flow flow) {
    this.flow = flow;
  }

  /**
   * Returns the flow.
   *
   * @return the flow
   */
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
   * Adds a request that is tried again at the front.
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
   * Returns the request that has been in the queue longest.
   *
   * @return the request, or empty when nothing waits
   */
  Optional<PendingRequest> head() {
    return Optional.ofNullable(requests.peekFirst());
  }

  /**
   * Returns the first request that meets a condition.
   *
   * @param condition the condition
   * @return the request, or empty when none does
   */
  Optional<PendingRequest> first(Predicate<PendingRequest> condition) {
    return requests.stream().filter(condition).findFirst();
  }

  /**
   * Returns the number of requests that an agent may get.
   *
   * @param eligible the condition, which holds for requests that have not failed before
   * @return the number
   */
  int countEligible(Predicate<PendingRequest> eligible) {
    return retriedCount == 0 ? requests.size() : (int) requests.stream().filter(eligible).count();
  }

  /**
   * Removes a request that leaves for an agent.
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
   * Removes a request that no longer waits for an agent.
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
   * Removes all requests that meet a condition.
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
   * Estimates the wait of a request that is added now.
   *
   * @return the wait in milliseconds, 0 while no rate is known
   */
  long waitMillis() {
    return rate.waitMillis(requests.size());
  }

  /**
   * Notes whether an agent can take the flow now.
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
   * Returns whether no agent could take the flow for some time.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the time, in milliseconds
   * @return true when none could for at least that time
   */
  boolean unavailableFor(long now, long limitMillis) {
    return unavailableSince >= 0 && now - unavailableSince >= limitMillis;
  }

  /**
   * Returns whether more connections should be requested now.
   *
   * @param now the current time, in milliseconds
   * @param intervalMillis the shortest time between two requests
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
   * Returns whether the offers must be planned again.
   *
   * @param now the current time, in milliseconds
   * @return true when something waits and the time has come
   */
  boolean isPlanDue(long now) {
    return !requests.isEmpty() && now >= planAt;
  }
}
