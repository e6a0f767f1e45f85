package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link Gateway} with targets that break off a response or end it by closing. */
@Timeout(60)
class InterruptedResponseTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\n";

  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  /** Head of a response whose body ends with the connection. */
  private static final String CLOSE_DELIMITED = HEAD + "\r\n";

  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

  private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  /** Size at which the splitter of events used to give out an incomplete event, in bytes. */
  private static final int SPLIT_BYTES = 96 << 10;

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against the text or head of an error in the middle of a stream that has begun. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Error\r\nid: r1\r\nsigned: x\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 404 Missing\r\nid: r1\r\nsigned: x\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 500 Error\r\nid: r1\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 500 Error\r\nid: r1\r\nsigned: x\r\n\r\nerror",
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 200 OK\r\nid: other\r\nsigned: x\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 Empty\r\nid: r1\r\nsigned: x\r\n\r\n",
        "HTTP/1.1 500 Er",
        "error"
      })
  void errorOfNextTargetIsNoPartOfStream(String error) throws IOException {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedTarget.Script script =
        (number, socket) -> {
          ScriptedTarget.write(
              socket,
              attempts.getAndIncrement() == 0
                  ? CHUNKED + GatewayHarness.chunk(FIRST_EVENT)
                  : error);
          socket.close();
        };
    Gateway gateway =
        harness.gateway(
            RouteKind.RESUMABLE_STREAMING, 2, harness.target(script), harness.target(script));
    assertThat(send(gateway))
        .contains(FIRST_EVENT)
        .doesNotContainIgnoringCase("error")
        .doesNotContain(END_OF_CHUNKS)
        .containsOnlyOnce("HTTP/1.1");
    assertThat(attempts).hasValue(2);
  }

  /** Guards against a response that looks complete although its head was broken off. */
  @ParameterizedTest
  @EnumSource(RouteKind.class)
  void brokenHeadIsNoResponse(RouteKind kind) throws IOException {
    for (String head :
        List.of(
            "HTTP/1.1 200",
            "HTTP/1.1 200 OK\r\n",
            HEAD,
            HEAD + "Content-Len",
            HEAD + "Content-Length: 2",
            HEAD + "Content-Length: 2\r\n",
            HEAD + "Transfer-Encoding: chunked\r\n",
            HEAD + "\r")) {
      ScriptedTarget.Script script =
          (number, socket) -> {
            ScriptedTarget.write(socket, head);
            socket.close();
          };
      Gateway gateway = harness.gateway(kind, 1, harness.target(script));
      assertThat(send(gateway)).as(head).startsWith("HTTP/1.1 502");
    }
  }

  /** Guards against a stream that is taken for broken since it ends with its connection. */
  @Test
  void streamMayEndWithItsConnection() throws IOException {
    Gateway gateway = closing(RouteKind.STREAMING, CLOSE_DELIMITED + FIRST_EVENT + SECOND_EVENT);
    assertThat(send(gateway)).contains(FIRST_EVENT, SECOND_EVENT).endsWith(END_OF_CHUNKS);
  }

  /** Guards against a stream that looks complete although it ends within an event. */
  @Test
  void streamThatEndsWithinAnEventIsBrokenOff() throws IOException {
    Gateway gateway = closing(RouteKind.STREAMING, CLOSE_DELIMITED + FIRST_EVENT + "id: 2\ndata");
    assertThat(send(gateway)).contains(FIRST_EVENT).doesNotContain("id: 2", END_OF_CHUNKS);
  }

  /**
   * Guards against a stream that is resumed behind a part of an event, which hides the next one.
   */
  @ParameterizedTest
  @ValueSource(ints = {SPLIT_BYTES - 1, SPLIT_BYTES + 1, 4 * SPLIT_BYTES, 40 * SPLIT_BYTES})
  void partOfLargeEventIsNotForwarded(int bytes) throws IOException {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedTarget.Script script =
        (number, socket) -> {
          if (attempts.getAndIncrement() == 0) {
            ScriptedTarget.write(
                socket,
                CHUNKED
                    + GatewayHarness.chunk(FIRST_EVENT)
                    + GatewayHarness.chunk("#".repeat(bytes)));
            reset(socket);
          } else {
            ScriptedTarget.write(
                socket, CHUNKED + GatewayHarness.chunk(SECOND_EVENT) + END_OF_CHUNKS);
          }
        };
    Gateway gateway =
        harness.gateway(
            RouteKind.RESUMABLE_STREAMING, 2, harness.target(script), harness.target(script));
    assertThat(send(gateway))
        .contains(GatewayHarness.chunk(FIRST_EVENT) + GatewayHarness.chunk(SECOND_EVENT))
        .endsWith(END_OF_CHUNKS)
        .doesNotContain("#");
    assertThat(attempts).hasValue(2);
  }

  /** Guards against a stream that looks complete although it ends within a large event. */
  @ParameterizedTest
  @ValueSource(ints = {SPLIT_BYTES - 1, SPLIT_BYTES + 1, 4 * SPLIT_BYTES})
  void streamThatEndsWithinLargeEventIsBrokenOff(int bytes) throws IOException {
    String part = "id: 2\ndata: ";
    Gateway gateway =
        closing(
            RouteKind.STREAMING,
            CLOSE_DELIMITED + FIRST_EVENT + part + "#".repeat(bytes - part.length()));
    assertThat(send(gateway))
        .contains(FIRST_EVENT)
        .doesNotContain("#")
        .doesNotContain(END_OF_CHUNKS);
  }

  /** Guards against a stream that fails since its caller resumes it behind its last event. */
  @Test
  void streamResumedBehindLastEventIsEmpty() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, CHUNKED + END_OF_CHUNKS));
    Gateway gateway = harness.gateway(RouteKind.RESUMABLE_STREAMING, 2, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request("last-event-id: 2\r\n")))
        .startsWith("HTTP/1.1 200")
        .endsWith(END_OF_CHUNKS);
  }

  /** Guards against a sound stream that is broken off since one of its events is large. */
  @Test
  void largeEventIsForwarded() throws IOException {
    String event = "id: 2\ndata: " + "#".repeat(2 * SPLIT_BYTES) + "\n\n";
    Gateway gateway = closing(RouteKind.STREAMING, CLOSE_DELIMITED + FIRST_EVENT + event);
    assertThat(send(gateway)).contains(event).endsWith(END_OF_CHUNKS);
  }

  /** Guards against a body that is taken for broken since it ends with its connection. */
  @Test
  void bodyMayEndWithItsConnection() throws IOException {
    Gateway gateway = closing(RouteKind.NON_IDEMPOTENT, CLOSE_DELIMITED + "whole");
    assertThat(send(gateway)).startsWith("HTTP/1.1 200").endsWith("whole");
  }

  /** Guards against a part of a body that looks complete after a reset of its connection. */
  @Test
  void resetBodyIsBrokenOff() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, CLOSE_DELIMITED + "part");
              reset(socket);
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(send(gateway)).startsWith("HTTP/1.1 502");
  }

  /** Returns a router with a target that closes its connection after a response. */
  private Gateway closing(RouteKind kind, String response) throws IOException {
    return harness.gateway(
        kind,
        1,
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, response);
              socket.close();
            }));
  }

  /** Resets a connection once the router has read what was written. */
  private static void reset(Socket socket) throws IOException {
    GatewayHarness.sleep(200);
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private static String send(Gateway gateway) throws IOException {
    return GatewayHarness.send(gateway, GatewayHarness.request(""));
  }
}
