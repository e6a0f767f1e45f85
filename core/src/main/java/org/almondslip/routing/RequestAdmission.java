package org.almondslip.routing;

import java.util.Optional;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.Flow;
import org.almondslip.error.ErrorCode;
import org.almondslip.quarantine.SuspectRegistry.Verdict;

/** Validates and admits new requests by catalog, crash records and queue limits. */
final class RequestAdmission {

  /** {@code Retry-After} time of requests that a draining router refuses, in milliseconds. */
  private static final long DRAIN_RETRY_MILLIS = 1_000;

  private final RouterState state;

  private final QueueAdmission queueAdmission;

  private Catalog catalog = Catalog.EMPTY;

  /** Whether new requests are refused because the process is shutting down. */
  private boolean draining;

  RequestAdmission(RouterState state) {
    this.state = state;
    this.queueAdmission = new QueueAdmission(state.queues(), state.settings());
  }

  /**
   * Replaces the catalog.
   *
   * @param next the catalog in force
   */
  void onCatalog(Catalog next) {
    catalog = next;
  }

  /** Refuses all new requests from now on because the process is shutting down. */
  void onDrain() {
    draining = true;
  }

  /**
   * Returns whether a drain has been started.
   *
   * @return true once {@link #onDrain} has been called
   */
  boolean draining() {
    return draining;
  }

  /**
   * Checks whether a new request is admitted.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   * @return the refusal, or empty when the request may be queued
   */
  Optional<Outcome> refuse(PendingRequest pending, long now) {
    if (draining) {
      return Optional.of(
          Outcome.notRun(ErrorCode.DRAINING, "the router stops")
              .withRetryAfter(DRAIN_RETRY_MILLIS));
    }
    Optional<Outcome> refusal = PoolRules.refuse(catalog, pending.request());
    if (refusal.isPresent()) {
      return refusal;
    }
    if (state.suspects().verdict(pending.fingerprint()) == Verdict.REFUSED) {
      return Optional.of(
          Outcome.notRun(
              ErrorCode.REQUEST_CRASHES_TARGETS, "targets have ended while they ran it"));
    }
    return queueAdmission.check(pending, state.requests().heldBytes(), now);
  }

  /**
   * Creates the state of a request that has not been queued.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   * @return the state of the request
   */
  PendingRequest toPending(CallerRequest request, long now) {
    Flow flow =
        Flow.of(request.organisation(), request.pool(), catalog.shareOf(request.organisation()));
    return new PendingRequest(
        request,
        flow,
        Dispatcher.fingerprint(request),
        PoolRules.idempotent(catalog, request),
        now);
  }
}
