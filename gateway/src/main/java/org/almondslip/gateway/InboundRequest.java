package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.almondslip.directory.Organisation;
import org.almondslip.directory.Route;

/**
 * Accepted request of a caller.
 *
 * @param method the method
 * @param uri the path and the query as the caller sent them
 * @param headers the headers as the caller sent them
 * @param body the body
 * @param decoded the decoded headers
 * @param route the route
 * @param service the service that the route selected
 * @param organisation the organisation, empty when the route needs no key
 * @param arrivedAt the earliest time at which the headers may have arrived, in milliseconds
 * @param fingerprint a hash that is the same for all attempts of a caller at one request
 */
record InboundRequest(
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    HeaderCodec.RequestHeaders decoded,
    Route route,
    String service,
    Optional<Organisation> organisation,
    long arrivedAt,
    long fingerprint) {

  /**
   * Maximum idle time of a connection for a request that must not be repeated, in milliseconds. A
   * target may close an idle connection without notice, and such a request could not be retried.
   */
  private static final long NON_REPEATABLE_IDLE_MILLIS = 1_000;

  /** Returns the name of the organisation, empty when the route needs no key. */
  String organisationName() {
    return organisation.map(Organisation::name).orElse("");
  }

  /**
   * Returns the time by which the caller must have the complete response.
   *
   * @return the earlier of the caller's deadline and the route's timeout, in milliseconds
   */
  long deadlineAt() {
    return arrivedAt
        + Math.min(route.timeoutMillis(), decoded.deadlineMillis().orElse(Long.MAX_VALUE >> 1));
  }

  /**
   * Returns the maximum idle time of a connection for this request in milliseconds, 0 for a new
   * one.
   */
  long maxIdleMillis() {
    if (decoded.requestId().isEmpty()) {
      // A late response to an earlier request could not be told from the response to this one.
      return 0;
    }
    return route.kind().repeatable() ? Long.MAX_VALUE : NON_REPEATABLE_IDLE_MILLIS;
  }
}
