package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1).
 *
 * <p>Content-Length and Expect are included, since the router sets the length of the bodies that it
 * sends and answers expectations itself.
 */
final class HopByHopHeaders {

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

  private HopByHopHeaders() {}

  /** Returns whether a header must not be forwarded. The name is case-insensitive. */
  static boolean isHopByHop(String name) {
    return NAMES.contains(name.toLowerCase(Locale.ROOT));
  }

  /**
   * Returns whether a response body extends until its connection closes, since the message has
   * neither Content-Length nor Transfer-Encoding.
   */
  static boolean isCloseDelimited(MultiMap headers) {
    return !headers.contains("Content-Length") && !headers.contains("Transfer-Encoding");
  }

  /** Returns whether the body of a message is sent in chunks, the last of which marks its end. */
  static boolean isChunked(MultiMap headers) {
    return headers.contains("Transfer-Encoding", "chunked", true);
  }

  /**
   * Returns the options that the Connection header lists, which name further hop-by-hop headers.
   *
   * @param headers the headers of the message
   * @return the names in lower case
   */
  static Set<String> connectionOptions(MultiMap headers) {
    Set<String> names = new HashSet<>();
    for (String value : headers.getAll("Connection")) {
      Arrays.stream(value.split(","))
          .map(name -> name.trim().toLowerCase(Locale.ROOT))
          .forEach(names::add);
    }
    return names;
  }
}
