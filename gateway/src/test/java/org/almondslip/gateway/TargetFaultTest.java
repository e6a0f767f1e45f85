package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of {@link Gateway} with targets that repeat, delay or never end their responses. */
@Timeout(60)
class TargetFaultTest {

  private static final String COMPLETE =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  /** Time that a caller waits for a response that does not end, in milliseconds. */
  private static final int SHORT_DEADLINE_MILLIS = 1_500;

  /** Size in bytes that an endless response must not reach. */
  private static final long MAX_ENDLESS_BYTES = 256L << 20;

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a repeated refusal that is taken for the response to the next request. */
  @Test
  void refusalWithoutIdDoesNotAnswerNextRequest() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket,
                    number == 0 ? NOT_EXECUTED : withoutId(NOT_EXECUTED) + second(COMPLETE)));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 503");
    assertThat(GatewayHarness.send(gateway, second(GatewayHarness.request(""))))
        .startsWith("HTTP/1.1 502");
    assertThat(target.requests()).hasSize(2);
  }

  /** Guards against a repeated refusal after which a request runs at a second target. */
  @Test
  void refusalOfEarlierRequestCausesNoSecondRun() throws IOException {
    ScriptedTarget.Script repeatsRefusal =
        (number, socket) ->
            ScriptedTarget.write(
                socket, number == 0 ? NOT_EXECUTED : NOT_EXECUTED + second(COMPLETE));
    ScriptedTarget first = harness.target(repeatsRefusal);
    ScriptedTarget other = harness.target(repeatsRefusal);
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, first, other);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 503");
    assertThat(GatewayHarness.send(gateway, second(GatewayHarness.request(""))))
        .startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + other.requests().size()).isEqualTo(3);
  }

  /** Guards against a second copy of a response that is forwarded to the next caller. */
  @Test
  void secondCopyWithoutIdDoesNotAnswerNextRequest() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket, number == 0 ? COMPLETE : withoutId(COMPLETE) + second(COMPLETE)));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 200");
    assertThat(GatewayHarness.send(gateway, second(GatewayHarness.request(""))))
        .startsWith("HTTP/1.1 502");
  }

  /** Guards against a late second copy that spoils the next request on an idle connection. */
  @Test
  void lateCopyClosesIdleConnection() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              if (number > 0) {
                ScriptedTarget.write(socket, second(COMPLETE));
                return;
              }
              ScriptedTarget.write(socket, COMPLETE);
              GatewayHarness.sleep(100);
              ScriptedTarget.write(socket, COMPLETE);
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 200");
    GatewayHarness.await(() -> target.closedConnections() > 0);
    assertThat(GatewayHarness.send(gateway, second(GatewayHarness.request(""))))
        .startsWith("HTTP/1.1 200")
        .contains("id: r2");
  }

  /** Guards against a response to a request without an id that belongs to an earlier one. */
  @Test
  void requestWithoutIdUsesNewConnection() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, withoutId(COMPLETE)));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    String request = GatewayHarness.request("").replace("id: r1\r\n", "");
    assertThat(GatewayHarness.send(gateway, request)).startsWith("HTTP/1.1 200");
    assertThat(GatewayHarness.send(gateway, request)).startsWith("HTTP/1.1 200");
    GatewayHarness.await(() -> target.connections() == 2);
  }

  /** Guards against a response body without end that fills the memory of the router. */
  @Test
  void abortsEndlessBody() throws Exception {
    abortsEndless(
        "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        GatewayHarness.chunk("x".repeat(64 << 10)));
  }

  /** Guards against a response head without end that fills the memory of the router. */
  @Test
  void abortsEndlessHead() throws Exception {
    abortsEndless("HTTP/1.1 200 OK\r\n", "a: " + "x".repeat(1_000) + "\r\n");
  }

  /** Guards against bytes without end that are not a response. */
  @Test
  void abortsEndlessGarbage() throws Exception {
    abortsEndless("", "\u0007".repeat(10_000));
  }

  /** Guards against a slow stream that is cut although its target still sends events. */
  @Test
  void forwardsSlowStreamToItsEnd() throws IOException {
    int events = 8;
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, STREAM_HEAD);
              for (int i = 0; i < events; i++) {
                GatewayHarness.sleep(400);
                ScriptedTarget.write(
                    socket, GatewayHarness.chunk("id: " + i + "\ndata: " + i + "\n\n"));
              }
              ScriptedTarget.write(socket, END_OF_CHUNKS);
            });
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request("")))
        .contains("data: " + (events - 1))
        .endsWith(END_OF_CHUNKS);
  }

  /** Guards against a stalled stream that never ends since single bytes still arrive. */
  @Test
  void endsStreamThatSendsNoEventsAtDeadline() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, STREAM_HEAD + GatewayHarness.chunk("id: 1\ndata: "));
              while (!socket.isClosed()) {
                GatewayHarness.sleep(100);
                ScriptedTarget.write(socket, GatewayHarness.chunk("a"));
              }
            });
    Gateway gateway = harness.gateway(RouteKind.RESUMABLE_STREAMING, 1, target);
    String response =
        GatewayHarness.send(
            gateway, GatewayHarness.request("deadline: " + SHORT_DEADLINE_MILLIS + "\r\n"));
    assertThat(response).startsWith("HTTP/1.1 504");
    GatewayHarness.await(() -> target.closedConnections() > 0);
  }

  /** Guards against a lost response after which the caller is told that nothing has run. */
  @Test
  void lostResponseIsNeverReportedAsNotRun() throws IOException {
    ScriptedTarget.Script loses =
        (number, socket) -> {
          if (number == 0) {
            socket.close();
          } else {
            ScriptedTarget.write(socket, NOT_EXECUTED);
          }
        };
    int[] attempts = {0};
    ScriptedTarget.Script either = (number, socket) -> loses.respond(attempts[0]++, socket);
    Gateway gateway =
        harness.gateway(RouteKind.IDEMPOTENT, 2, harness.target(either), harness.target(either));
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(attempts[0]).isEqualTo(2);
  }

  /** Guards against work that is started again after the loss of a response that had begun. */
  @Test
  void responseLostAfterFirstEventCausesNoSecondRun() throws IOException {
    ScriptedTarget.Script loses =
        (number, socket) -> {
          ScriptedTarget.write(socket, STREAM_HEAD + GatewayHarness.chunk("id: 1\ndata: a\n\n"));
          socket.close();
        };
    ScriptedTarget first = harness.target(loses);
    ScriptedTarget other = harness.target(loses);
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 2, first, other);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request("")))
        .doesNotContain(END_OF_CHUNKS);
    assertThat(first.requests().size() + other.requests().size()).isEqualTo(1);
  }

  /**
   * Sends a request to a target that writes data until the router closes the connection.
   *
   * @param start the start of the response
   * @param repeated the data that is written repeatedly
   */
  private void abortsEndless(String start, String repeated) throws Exception {
    AtomicLong written = new AtomicLong();
    CompletableFuture<Void> closed = new CompletableFuture<>();
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, start);
              writeUntilClosed(socket, repeated, written);
              closed.complete(null);
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    closed.get();
    assertThat(written.get()).isLessThan(MAX_ENDLESS_BYTES);
  }

  private static void writeUntilClosed(Socket socket, String data, AtomicLong written) {
    try {
      while (written.get() < MAX_ENDLESS_BYTES) {
        ScriptedTarget.write(socket, data);
        written.addAndGet(data.length());
      }
    } catch (IOException e) {
      // The router has closed the connection, which ends the response.
    }
  }

  /** Returns a message of the first request without its id. */
  private static String withoutId(String message) {
    return message.replace("id: r1\r\n", "");
  }

  /** Returns a message of the first request with the id of the second one. */
  private static String second(String message) {
    return message.replace("id: r1", "id: r2");
  }
}
