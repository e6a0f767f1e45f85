package org.almondslip.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Call of the operators' interface.
 *
 * @param method the method
 * @param path the path below the root, with its query
 * @param body the body, empty for none
 */
record AdminCall(String method, String path, String body) {

  /**
   * Creates a call that reads.
   *
   * @param path the path below the root, with its query
   * @return the call
   */
  static AdminCall get(String path) {
    return new AdminCall("GET", path, "");
  }

  /**
   * Creates a call with a body.
   *
   * @param path the path below the root, with its query
   * @param body the body
   * @return the call
   */
  static AdminCall post(String path, String body) {
    return new AdminCall("POST", path, body);
  }

  /**
   * Encodes a part of a path or query.
   *
   * @param text the part
   * @return the encoded part
   */
  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
