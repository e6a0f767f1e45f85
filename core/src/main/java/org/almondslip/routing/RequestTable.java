package org.almondslip.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Requests whose callers wait for an answer. Ensures that each gets one end. */
final class RequestTable {

  /** Label of requests whose callers have gone, in metrics. */
  private static final String CANCELLED = "cancelled";

  /** Requests by the number of the caller. */
  private final Map<Long, PendingRequest> byCaller = new HashMap<>();

  /** Counters. */
  private final RoutingCounters counters;

  /** Effects. */
  private final RouterEffects effects;

  /** Bytes of request bodies held. */
  private long heldBytes;

  /**
   * Creates an empty table.
   *
   * @param counters the counters
   * @param effects the effects
   */
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
   * @param caller the number of the caller
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
   * Ends a request. A request that has ended before is left alone.
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
   * @param caller the number of the caller
   * @param refusal the refusal
   */
  void refuse(long caller, Outcome refusal) {
    counters.countOutcome(refusal.label());
    effects.end(caller, refusal);
  }

  /**
   * Removes a request whose caller has gone.
   *
   * @param pending the request
   */
  void cancel(PendingRequest pending) {
    if (remove(pending)) {
      counters.countOutcome(CANCELLED);
    }
  }

  /**
   * Returns whether nobody waits.
   *
   * @return true when all requests have ended
   */
  boolean isEmpty() {
    return byCaller.isEmpty();
  }

  /**
   * Returns the bytes of request bodies held.
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
   * @return false when it has been removed before
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
