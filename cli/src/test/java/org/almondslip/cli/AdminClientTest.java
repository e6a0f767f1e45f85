package org.almondslip.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.util.stream.Stream;
import org.almondslip.resource.Closer;
import org.almondslip.standins.ScriptedServer;
import org.almondslip.standins.ScriptedServer.Ending;
import org.almondslip.standins.ScriptedServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests {@link AdminClient} with responses that are broken or not HTTP. */
@Timeout(60)
class AdminClientTest {

  private static final String LENGTH = "Content-Length: 2\r\n\r\n";

  private final Closer closer = new Closer();

  @AfterEach
  void close() {
    closer.close();
  }

  /** Returns responses that tell nothing about the request. */
  static Stream<Response> brokenResponses() {
    return Stream.concat(
        Stream.of(
                "HTTP/1.1 000 Trouble\r\n" + LENGTH + "{}",
                "HTTP/1.1 099 Trouble\r\n" + LENGTH + "{}",
                "HTTP/1.1 600 Trouble\r\n" + LENGTH + "{}",
                "HTTP/1.1 200 OK\r\na b: c\r\n" + LENGTH + "{}",
                "HTTP/1.1 200 OK\r\na : c\r\n" + LENGTH + "{}",
                "HTTP/1.1 200 OK\r\na\u0001: c\r\n" + LENGTH + "{}")
            .map(bytes -> new Response(bytes, Ending.CLOSE)),
        Stream.of(new Response("HTTP/1.1 200 OK\r\n\r\n{}", Ending.RESET)));
  }

  /** Guards against a ticket that counts as applied after a broken response. */
  @ParameterizedTest
  @MethodSource("brokenResponses")
  void outcomeIsUnknownAfterBrokenResponse(Response broken) {
    ScriptedServer server = closer.register(new ScriptedServer(head -> broken));
    AdminClient client = new AdminClient(server.address(), "key");
    assertThatExceptionOfType(CliException.class)
        .isThrownBy(() -> client.send(AdminRequest.post("tickets?file=x", "{}")))
        .satisfies(e -> assertThat(e.code()).isEqualTo(ExitCode.OUTCOME_UNKNOWN));
  }

  /** Returns sound responses of each framing. */
  static Stream<Response> soundResponses() {
    return Stream.of(
        new Response("HTTP/1.1 200 OK\r\nx:\r\n" + LENGTH + "{}", Ending.CLOSE),
        new Response("HTTP/1.1 200 OK\r\n\r\n{}", Ending.CLOSE),
        new Response(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            Ending.CLOSE));
  }

  /** Guards against a sound response that is lost. */
  @ParameterizedTest
  @MethodSource("soundResponses")
  void soundResponseIsRead(Response sound) {
    ScriptedServer server = closer.register(new ScriptedServer(head -> sound));
    AdminClient client = new AdminClient(server.address(), "key");
    assertThat(client.send(AdminRequest.post("tickets?file=x", "{}")).failed()).isFalse();
  }
}
