package org.almondslip.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Request to the admin interface of a router.
 *
 * @param method the HTTP method
 * @param path the path below {@code /admin/v1/}, with the query
 * @param body the body, empty for none
 */
record AdminRequest(String method, String path, String body) {

  /**
   * Creates a GET request.
   *
   * @param path the path below {@code /admin/v1/}, with the query
   * @return the request
   */
  static AdminRequest get(String path) {
    return new AdminRequest("GET", path, "");
  }

  /**
   * Creates a POST request.
   *
   * @param path the path below {@code /admin/v1/}, with the query
   * @param body the body
   * @return the request
   */
  static AdminRequest post(String path, String body) {
    return new AdminRequest("POST", path, body);
  }

  /**
   * Encodes a path segment or a query parameter.
   *
   * @param text the decoded text
   * @return the encoded text
   */
  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
