package org.almondslip.agent;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Header;

/** Converts headers between the inner protocol and HTTP without hop-by-hop headers. */
final class TargetHeaders {

  /** Hop-by-hop headers, in lower case. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** Request headers that the HTTP client sets itself, in lower case. */
  private static final Set<String> SET_BY_CLIENT = Set.of("host", "content-length", "expect");

  /** Not instantiable. */
  private TargetHeaders() {}

  /**
   * Copies the end-to-end headers of a caller to a request.
   *
   * @param headers the headers of the caller
   * @param request the headers of the request
   */
  static void toRequest(List<Header> headers, MultiMap request) {
    for (Header header : headers) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !SET_BY_CLIENT.contains(name)) {
        request.add(header.getName(), header.getValue());
      }
    }
  }

  /**
   * Creates the head of an answer from the status and the end-to-end headers.
   *
   * @param status the status of the answer
   * @param headers the headers of the answer
   * @return the head
   */
  static AnswerHead toHead(int status, MultiMap headers) {
    AnswerHead.Builder head = AnswerHead.newBuilder().setStatus(status);
    headers.forEach(
        (name, value) -> {
          if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))) {
            head.addHeaders(Header.newBuilder().setName(name).setValue(value));
          }
        });
    return head.build();
  }
}
