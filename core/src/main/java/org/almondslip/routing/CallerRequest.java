package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.util.List;
import org.almondslip.protocol.wire.Header;

/**
 * Authenticated request of a caller.
 *
 * @param caller the id of the request within this process
 * @param organisation the organisation of the caller
 * @param pool the pool that the request names
 * @param kind whether the request is for a model or a plain service
 * @param method the HTTP method
 * @param path the path and query at the target
 * @param headers the headers for the target
 * @param body the body
 * @param timeoutMillis the timeout of the request, in milliseconds
 * @param hintMillis a rough estimate of the slot time, in milliseconds
 * @param stream whether the caller wants server-sent events
 * @param idempotencyKey the idempotency key, empty when the caller gave none
 */
public record CallerRequest(
    long caller,
    String organisation,
    String pool,
    Kind kind,
    String method,
    String path,
    List<Header> headers,
    ByteString body,
    long timeoutMillis,
    long hintMillis,
    boolean stream,
    String idempotencyKey) {

  /** What a request is for. */
  public enum Kind {
    /** A model engine. */
    MODEL,
    /** A plain service. */
    SERVICE
  }

  /**
   * Copies the headers.
   *
   * @param caller the id of the request within this process
   * @param organisation the organisation of the caller
   * @param pool the pool that the request names
   * @param kind whether the request is for a model or a plain service
   * @param method the HTTP method
   * @param path the path and query at the target
   * @param headers the headers for the target
   * @param body the body
   * @param timeoutMillis the timeout of the request, in milliseconds
   * @param hintMillis a rough estimate of the slot time, in milliseconds
   * @param stream whether the caller wants server-sent events
   * @param idempotencyKey the idempotency key, empty when the caller gave none
   */
  public CallerRequest {
    headers = List.copyOf(headers);
  }

  /**
   * Returns the request without headers and body.
   *
   * @return the new request
   */
  CallerRequest withoutBody() {
    return new CallerRequest(
        caller,
        organisation,
        pool,
        kind,
        method,
        path,
        List.of(),
        ByteString.EMPTY,
        timeoutMillis,
        hintMillis,
        stream,
        idempotencyKey);
  }
}
