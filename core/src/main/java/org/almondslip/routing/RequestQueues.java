package org.almondslip.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.almondslip.catalog.Flow;

/** Queues of all flows, with the counts that the queue limits apply to. */
final class RequestQueues {

  /** Queues by flow identity. Empty queues are kept for their service rate. */
  private final Map<Integer, FlowQueue> queues = new LinkedHashMap<>();

  /** Waiting requests by organisation. */
  private final Map<String, Integer> byOrganisation = new HashMap<>();

  /** Waiting requests of all organisations. */
  private int waiting;

  /**
   * Returns the queue of a flow, and creates it if necessary.
   *
   * @param flow the flow
   * @return the queue
   */
  FlowQueue of(Flow flow) {
    return queues.computeIfAbsent(flow.id(), id -> new FlowQueue(flow));
  }

  /**
   * Finds the queue of a flow.
   *
   * @param flowId the identity of the flow
   * @return the queue, or empty when the flow never had a request
   */
  Optional<FlowQueue> find(int flowId) {
    return Optional.ofNullable(queues.get(flowId));
  }

  /**
   * Returns all queues.
   *
   * @return the queues, including empty ones
   */
  Collection<FlowQueue> all() {
    return queues.values();
  }

  /**
   * Adds a new request at the end of its queue.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  void add(PendingRequest pending, long now) {
    of(pending.flow()).add(pending, now);
    count(pending, 1);
  }

  /**
   * Adds a retried request at the front of its queue.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   */
  void addFirst(PendingRequest pending, long now) {
    of(pending.flow()).addFirst(pending, now);
    count(pending, 1);
  }

  /**
   * Removes a request that is being dispatched.
   *
   * @param pending the request, which must be waiting
   * @param now the current time, in milliseconds
   */
  void dispatch(PendingRequest pending, long now) {
    of(pending.flow()).dispatch(pending, now);
    count(pending, -1);
  }

  /**
   * Removes a request that is no longer waiting.
   *
   * @param pending the request
   */
  void remove(PendingRequest pending) {
    if (of(pending.flow()).remove(pending)) {
      count(pending, -1);
    }
  }

  /**
   * Removes the requests of a queue that match a condition.
   *
   * @param queue the queue
   * @param condition the condition
   * @return the removed requests in order
   */
  List<PendingRequest> removeIf(FlowQueue queue, Predicate<PendingRequest> condition) {
    List<PendingRequest> removed = queue.removeIf(condition);
    removed.forEach(pending -> count(pending, -1));
    return removed;
  }

  /**
   * Returns the number of waiting requests of an organisation.
   *
   * @param organisation the organisation
   * @return the number
   */
  int waitingOf(String organisation) {
    return byOrganisation.getOrDefault(organisation, 0);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  int waiting() {
    return waiting;
  }

  /**
   * Removes empty queues of flows that no longer exist.
   *
   * @param exists which flow identities exist
   */
  void retain(Predicate<Integer> exists) {
    queues.values().removeIf(queue -> queue.isEmpty() && !exists.test(queue.flow().id()));
  }

  /**
   * Adjusts the counts.
   *
   * @param pending the request that is added or removed
   * @param change 1 or -1
   */
  private void count(PendingRequest pending, int change) {
    waiting += change;
    byOrganisation.merge(pending.flow().organisation(), change, Integer::sum);
    byOrganisation.remove(pending.flow().organisation(), 0);
  }
}
