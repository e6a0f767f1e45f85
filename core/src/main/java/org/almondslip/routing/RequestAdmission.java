package org.almondslip.routing;

import java.util.Optional;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.Flow;
import org.almondslip.error.ErrorCode;
import org.almondslip.quarantine.SuspectRegistry.Verdict;

/** Checks new requests against the catalog, the crash marks and the limits. */
final class RequestAdmission {

  /** Time after which a request that a draining router refused may come back, in milliseconds. */
  private static final long DRAIN_RETRY_MILLIS = 1_000;

  /** State of the router's requests. */
  private final RouterState state;

  /** Limits of the queues. */
  private final QueueAdmission queueAdmission;

  /** Catalog in force. */
  private Catalog catalog = Catalog.EMPTY;

  /** Whether new requests are refused because the process stops. */
  private boolean draining;

  /**
   * Creates the checks of a router without a catalog.
   *
   * @param state the state of the router's requests
   */
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

  /** Refuses new requests from now on because the process stops. */
  void onDrain() {
    draining = true;
  }

  /**
   * Returns whether the process stops.
   *
   * @return true after the start of a drain
   */
  boolean draining() {
    return draining;
  }

  /**
   * Checks a new request.
   *
   * @param pending the request
   * @param now the current time, in milliseconds
   * @return the refusal, or empty when the request may wait
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
   * Creates the progress of a request.
   *
   * @param request the request
   * @param now the current time, in milliseconds
   * @return the progress
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
