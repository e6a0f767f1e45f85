package org.almondslip.gateway;

import io.vertx.core.http.HttpServerRequest;

/** Reads the head of a request. */
final class RequestHead {

  /** Not instantiable. */
  private RequestHead() {}

  /**
   * Returns the path of a request without the query.
   *
   * @param request the request
   * @return the path
   */
  static String path(HttpServerRequest request) {
    int query = request.uri().indexOf('?');
    return query < 0 ? request.uri() : request.uri().substring(0, query);
  }

  /**
   * Returns the size of the headers of a request.
   *
   * @param request the request
   * @return the size in bytes
   */
  static int size(HttpServerRequest request) {
    int size = request.uri().length();
    for (var header : request.headers()) {
      // Each header line has a colon, a space and a line end of two bytes.
      size += header.getKey().length() + header.getValue().length() + 4;
    }
    return size;
  }
}
