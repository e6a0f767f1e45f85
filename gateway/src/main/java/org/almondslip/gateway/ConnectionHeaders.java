package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Headers that concern one connection only and are never passed on (RFC 9110, section 7.6.1). */
final class ConnectionHeaders {

  /** Names in lower case. */
  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          StrictRequestDecoder.AMBIGUOUS_LENGTH);

  /** Not instantiable. */
  private ConnectionHeaders() {}

  /**
   * Returns whether a header concerns one connection only.
   *
   * @param name the name of the header
   * @return true when it must not be passed on
   */
  static boolean isConnectionHeader(String name) {
    return NAMES.contains(name.toLowerCase(Locale.ROOT));
  }

  /**
   * Returns whether only the end of its connection tells the end of a message.
   *
   * @param headers the headers of the message
   * @return true when it has neither a length nor chunks
   */
  static boolean isUnframed(MultiMap headers) {
    return !headers.contains("Content-Length") && !headers.contains("Transfer-Encoding");
  }

  /**
   * Returns the names that a message declares for its connection.
   *
   * @param headers the headers of the message
   * @return the names in lower case
   */
  static Set<String> declared(MultiMap headers) {
    Set<String> names = new HashSet<>();
    for (String value : headers.getAll("Connection")) {
      Arrays.stream(value.split(","))
          .map(name -> name.trim().toLowerCase(Locale.ROOT))
          .forEach(names::add);
    }
    return names;
  }
}
