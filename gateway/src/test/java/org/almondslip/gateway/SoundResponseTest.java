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

  /** All three framings of a body with one event. */
  private static final List<String> BODIES =
      List.of(
          "Content-Length: 15\r\n\r\n" + EVENT,
          "Transfer-Encoding: chunked\r\n\r\n5;a=\"b\"\r\nid: 1\r\na\r\n\ndata: a\n\n\r\n0\r\nt: u\r\n\r\n",
          "\r\n" + EVENT);

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
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
