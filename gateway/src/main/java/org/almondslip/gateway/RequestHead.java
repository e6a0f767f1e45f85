package org.almondslip.gateway;

import io.vertx.core.http.HttpServerRequest;

/** Reads the request line and the headers of a request. */
final class RequestHead {

  private RequestHead() {}

  /** Returns the path of a request without its query string. */
  static String path(HttpServerRequest request) {
    int query = request.uri().indexOf('?');
    return query < 0 ? request.uri() : request.uri().substring(0, query);
  }

  /** Returns the size in bytes of the request target and the header lines. */
  static int size(HttpServerRequest request) {
    int size = request.uri().length();
    for (var header : request.headers()) {
      // Each header line adds a colon, a space, a carriage return and a line feed.
      size += header.getKey().length() + header.getValue().length() + 4;
    }
    return size;
  }
}
