package org.almondslip.routing;

import java.util.Optional;
import java.util.Set;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.FlowId;
import org.almondslip.error.ErrorCode;

/** Rules that the catalog sets for a request: access to the pool and idempotency. */
final class PoolRules {

  /** Methods that HTTP defines as idempotent. */
  private static final Set<String> IDEMPOTENT = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  /** {@code Retry-After} time while the router has no catalog, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  private PoolRules() {}

  /**
   * Checks whether the catalog allows a request.
   *
   * @param catalog the catalog in force
   * @param request the request
   * @return the refusal, or empty when the request is allowed
   */
  static Optional<Outcome> refuse(Catalog catalog, CallerRequest request) {
    if (catalog.revision() == 0) {
      return Optional.of(
          Outcome.notRun(ErrorCode.NOT_READY, "the router has no catalog yet")
              .withRetryAfter(NOT_READY_RETRY_MILLIS));
    }
    if (!isServed(catalog, request)) {
      return Optional.of(
          Outcome.notRun(ErrorCode.UNKNOWN_POOL, "no target serves " + request.pool()));
    }
    if (catalog.targetsOf(FlowId.of(request.organisation(), request.pool())).isEmpty()) {
      return Optional.of(
          Outcome.notRun(
              ErrorCode.POOL_NOT_REACHABLE,
              request.organisation() + " may not use " + request.pool()));
    }
    return Optional.empty();
  }

  /**
   * Returns whether a request can safely be run more than once.
   *
   * @param catalog the catalog in force
   * @param request the request
   * @return true for model calls and for idempotent methods that no target of the pool excludes
   */
  static boolean idempotent(Catalog catalog, CallerRequest request) {
    if (request.kind() == CallerRequest.Kind.MODEL) {
      return true;
    }
    return IDEMPOTENT.contains(request.method())
        && catalog.targetsInPool(request.pool()).stream()
            .flatMap(name -> catalog.target(name).stream())
            .flatMap(target -> target.notIdempotent().stream())
            .noneMatch(request.method()::equalsIgnoreCase);
  }

  /**
   * Returns whether a pool has a target of the kind that a request is for.
   *
   * @param catalog the catalog in force
   * @param request the request
   * @return true when it has one
   */
  private static boolean isServed(Catalog catalog, CallerRequest request) {
    Target.Type type =
        request.kind() == CallerRequest.Kind.MODEL ? Target.Type.MODEL : Target.Type.SERVICE;
    return catalog.targetsInPool(request.pool()).stream()
        .flatMap(name -> catalog.target(name).stream())
        .anyMatch(target -> target.type() == type);
  }
}
