package org.almondslip.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Requests whose callers wait for an answer. Reports one outcome for each request. */
final class RequestTable {

  /** Metric label of requests whose callers have disconnected. */
  private static final String CANCELLED = "cancelled";

  /** Requests by caller id. */
  private final Map<Long, PendingRequest> byCaller = new HashMap<>();

  private final RoutingCounters counters;

  private final RouterEffects effects;

  /** Total size of the buffered request bodies, in bytes. */
  private long heldBytes;

  RequestTable(RoutingCounters counters, RouterEffects effects) {
    this.counters = counters;
    this.effects = effects;
  }

  /**
   * Adds an admitted request.
   *
   * @param pending the request
   */
  void add(PendingRequest pending) {
    byCaller.put(pending.request().caller(), pending);
    heldBytes += pending.request().body().size();
  }

  /**
   * Finds a request.
   *
   * @param caller the caller id of the request
   * @return the request, or empty when it has ended
   */
  Optional<PendingRequest> find(long caller) {
    return Optional.ofNullable(byCaller.get(caller));
  }

  /**
   * Returns all requests.
   *
   * @return a copy
   */
  List<PendingRequest> all() {
    return new ArrayList<>(byCaller.values());
  }

  /**
   * Returns the requests whose deadline has passed.
   *
   * @param now the current time, in milliseconds
   * @return the requests
   */
  List<PendingRequest> expired(long now) {
    List<PendingRequest> expired = new ArrayList<>();
    for (PendingRequest pending : byCaller.values()) {
      if (now >= pending.deadline()) {
        expired.add(pending);
      }
    }
    return expired;
  }

  /**
   * Ends a request and reports its outcome. Has no effect on a request that has already ended.
   *
   * @param pending the request
   * @param outcome its final result
   */
  void end(PendingRequest pending, Outcome outcome) {
    if (remove(pending)) {
      counters.countOutcome(outcome.label());
      effects.end(pending.request().caller(), outcome);
    }
  }

  /**
   * Refuses a request that was never added.
   *
   * @param caller the caller id of the request
   * @param refusal the refusal
   */
  void refuse(long caller, Outcome refusal) {
    counters.countOutcome(refusal.label());
    effects.end(caller, refusal);
  }

  /**
   * Removes a request whose caller has disconnected.
   *
   * @param pending the request
   */
  void cancel(PendingRequest pending) {
    if (remove(pending)) {
      counters.countOutcome(CANCELLED);
    }
  }

  /**
   * Returns whether all requests have ended.
   *
   * @return true when no caller waits
   */
  boolean isEmpty() {
    return byCaller.isEmpty();
  }

  /**
   * Returns the total size of the buffered request bodies.
   *
   * @return the number of bytes
   */
  long heldBytes() {
    return heldBytes;
  }

  /**
   * Removes a request.
   *
   * @param pending the request
   * @return false when it had already been removed
   */
  private boolean remove(PendingRequest pending) {
    boolean removed = byCaller.remove(pending.request().caller(), pending);
    if (removed) {
      heldBytes -= pending.request().body().size();
      pending.releaseBody();
    }
    return removed;
  }
}
