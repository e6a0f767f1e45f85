package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of {@link Gateway} with targets that send sound responses of unusual forms. */
@Timeout(60)
class SoundResponseTest {

  private static final String EVENT = "id: 1\ndata: a\n\n";

  private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\n";

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  /** Characters of names but letters and digits (RFC 9110, section 5.6.2). */
  private static final String TOKEN_CHARS = "!#$%&'*+-.^_`|~";

  /** All three framings of a body with one event. */
  private static final List<String> BODIES =
      List.of(
          "Content-Length: 15\r\n\r\n" + EVENT,
          "Transfer-Encoding: chunked\r\n\r\n"
              + "5;a=\"b\"\r\nid: 1\r\na\r\n\ndata: a\n\n\r\n0\r\nt: u\r\n\r\n",
          "\r\n" + EVENT);

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a sound response that is lost, or whose fields callers get changed. */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"IDEMPOTENT", "NON_IDEMPOTENT", "STREAMING"})
  void fieldsAreForwarded(RouteKind kind) throws IOException {
    StringBuilder values = new StringBuilder("a\tb \"c\" ");
    for (char c = 0x80; c < 0x100; c++) {
      values.append(c);
    }
    String fields =
        "a"
            + TOKEN_CHARS
            + "b: tokens\r\n"
            + TOKEN_CHARS
            + ": tokens\r\n"
            + "empty:\r\nblank: \t \r\nbare:x\r\n"
            + "text: "
            + values
            + "\r\n";
    for (String body : BODIES) {
      String received = send(kind, HEAD + fields + body);
      assertThat(received)
          .startsWith("HTTP/1.1 200")
          .contains("\r\na" + TOKEN_CHARS + "b: tokens\r\n", "\r\n" + TOKEN_CHARS + ": tokens\r\n")
          .contains("\r\nempty: \r\n", "\r\nblank: \r\n", "\r\nbare: x\r\n")
          .contains("\r\ntext: " + values + "\r\n")
          .contains(EVENT);
      assertThat(received.endsWith(END_OF_CHUNKS)).isEqualTo(kind.streaming());
    }
  }

  /** Guards against a sound response that is lost for its status line. */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"IDEMPOTENT", "NON_IDEMPOTENT", "STREAMING"})
  void statusLinesAreAccepted(RouteKind kind) throws IOException {
    for (String line :
        List.of(
            "HTTP/1.1 200 ",
            "HTTP/1.1 200",
            "HTTP/1.0 200 OK",
            "HTTP/1.1 200 À la carte\t\u0085",
            "HTTP/1.1 299 Fine")) {
      String response = HEAD.replace("HTTP/1.1 200 OK", line) + BODIES.get(0);
      assertThat(send(kind, response))
          .as(line)
          .startsWith("HTTP/1.1 " + line.substring(9, 12))
          .contains(EVENT);
    }
    assertThat(send(kind, HEAD.replace("200 OK", "404 Missing") + BODIES.get(0)))
        .startsWith("HTTP/1.1 404");
    assertThat(send(kind, HEAD.replace("200 OK", "599 Odd") + BODIES.get(0)))
        .startsWith("HTTP/1.1 599");
  }

  /** Guards against an interim response that a caller gets as the final one. */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"IDEMPOTENT", "NON_IDEMPOTENT", "STREAMING"})
  void interimResponsesAreSkipped(RouteKind kind) throws IOException {
    for (String status : List.of("100 Continue", "102 Processing", "103 Hints", "199 Odd")) {
      String interim = HEAD.replace("200 OK", status) + "\r\n";
      for (String body : BODIES) {
        assertThat(send(kind, interim + interim + HEAD + body))
            .as(status)
            .startsWith("HTTP/1.1 200")
            .contains(EVENT);
      }
    }
  }

  /** Sends a request to a target that closes its connection after the response. */
  private String send(RouteKind kind, String response) throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, response);
              socket.shutdownOutput();
            });
    Gateway gateway = harness.gateway(kind, 1, target);
    return GatewayHarness.send(gateway, GatewayHarness.request(""));
  }
}
