package org.almondslip.router;

import io.vertx.core.http.HttpServerRequest;
import java.util.Set;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;
import org.almondslip.routing.CallerRequest;

/**
 * What a request names.
 *
 * @param kind whether it is for a model or a plain service
 * @param pool the pool, empty for a model call, whose body names it
 * @param path the path and query at the target
 */
record Route(CallerRequest.Kind kind, String pool, String path) {

  /** Path of model calls. */
  static final String CHAT = "/v1/chat/completions";

  /** Start of the paths of plain services. */
  private static final String SERVICES = "/services/";

  /** Methods that a target must not get: they concern the connection, not a resource. */
  private static final Set<String> REFUSED_METHODS = Set.of("CONNECT", "TRACE");

  /**
   * Finds the route of a request.
   *
   * @param request the request
   * @return the route
   */
  static Route of(HttpServerRequest request) {
    String path = request.path();
    String method = request.method().name();
    if (path == null || REFUSED_METHODS.contains(method)) {
      throw new AlmondslipException(
          ErrorCode.METHOD_NOT_ALLOWED, "the method " + method + " is not passed on");
    }
    if (path.equals(CHAT)) {
      if (!method.equals("POST")) {
        throw new AlmondslipException(ErrorCode.METHOD_NOT_ALLOWED, "use POST");
      }
      return new Route(CallerRequest.Kind.MODEL, "", CHAT);
    }
    return toService(path, request.query());
  }

  /**
   * Finds the route to a plain service.
   *
   * @param path the path
   * @param query the query, null when there is none
   * @return the route
   */
  private static Route toService(String path, String query) {
    int end = path.indexOf('/', SERVICES.length());
    String pool =
        path.startsWith(SERVICES)
            ? path.substring(SERVICES.length(), end < 0 ? path.length() : end)
            : "";
    if (pool.isEmpty()) {
      throw new AlmondslipException(ErrorCode.NOT_FOUND, "nothing exists at this path");
    }
    String rest = end < 0 ? "/" : path.substring(end);
    String full = query == null || query.isEmpty() ? rest : rest + "?" + query;
    return new Route(CallerRequest.Kind.SERVICE, pool, full);
  }
}
