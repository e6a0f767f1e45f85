package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import org.almondslip.directory.RouteKind;
import org.almondslip.dispatch.DispatchStatistics;
import org.almondslip.dispatch.RefusalReason;
import org.almondslip.quarantine.CrashQuarantine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of {@link Gateway} with raw sockets and targets that violate the protocol. */
@Timeout(60)
class GatewayTest {

  private static final String COMPLETE =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  /** Response of a target that did not run the request. */
  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final GatewayHarness harness = new GatewayHarness();

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a modified response, and against an API key that is sent to a target. */
  @Test
  void forwardsResponseAndRemovesApiKey() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    String response =
        GatewayHarness.send(gateway, GatewayHarness.request("Organisation: forged\r\n"));
    assertThat(response).startsWith("HTTP/1.1 200").contains("signed: x").endsWith("ok");
    assertThat(target.requests().get(0))
        .contains("organisation: org")
        .doesNotContain("forged")
        .doesNotContain("secret");
  }

  /** Guards against request smuggling with a body whose end is ambiguous. */
  @Test
  void rejectsContentLengthWithChunkedEncoding() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    String response =
        GatewayHarness.send(
            gateway,
            "POST /a/ HTTP/1.1\r\nHost: h\r\nid: r1\r\nkey: secret\r\nContent-Length: 5\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 400");
    assertThat(response.indexOf("HTTP/1.1", 1)).isNegative();
    assertThat(target.requests()).isEmpty();
  }

  /** Guards against forwarding the response to another request. */
  @Test
  void discardsResponseToAnotherRequest() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(socket, COMPLETE.replace("id: r1", "id: other")));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
  }

  /** Guards against running a non-idempotent request twice after a connection failure. */
  @Test
  void neverRetriesNonIdempotentRequestThatMayHaveRun() throws IOException {
    ScriptedTarget first = harness.target((number, socket) -> socket.close());
    ScriptedTarget second = harness.target((number, socket) -> socket.close());
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, first, second);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  /** Guards against failing a non-idempotent request that another target can still run. */
  @Test
  void retriesNonIdempotentRequestThatDidNotRun() throws IOException {
    ScriptedTarget first =
        harness.target((number, socket) -> ScriptedTarget.write(socket, NOT_EXECUTED));
    ScriptedTarget second =
        harness.target((number, socket) -> ScriptedTarget.write(socket, NOT_EXECUTED));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, first, second);
    String response = GatewayHarness.send(gateway, GatewayHarness.request(""));
    assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After");
    assertThat(first.requests()).hasSize(1);
    assertThat(second.requests()).hasSize(1);
  }

  /** Guards against more attempts than the route allows. */
  @Test
  void limitsAttemptsToThoseOfRoute() throws IOException {
    ScriptedTarget first = harness.target((number, socket) -> socket.close());
    ScriptedTarget second = harness.target((number, socket) -> socket.close());
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, first, second);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  /** Guards against missing or duplicate events when another target continues a stream. */
  @Test
  void resumesStreamAfterLastCompleteEvent() throws IOException {
    ScriptedTarget.Script breaksStream =
        (number, socket) -> {
          ScriptedTarget.write(
              socket,
              STREAM_HEAD
                  + GatewayHarness.chunk("id: 1\ndata: a\n\n")
                  + GatewayHarness.chunk("id: 2\nda"));
          socket.close();
        };
    ScriptedTarget.Script continuesStream =
        (number, socket) ->
            ScriptedTarget.write(
                socket, STREAM_HEAD + GatewayHarness.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    // Whichever target receives the first attempt breaks the stream; the other one continues it.
    int[] attempts = {0};
    ScriptedTarget.Script either =
        (number, socket) -> {
          int attempt = attempts[0]++;
          (attempt == 0 ? breaksStream : continuesStream).respond(number, socket);
        };
    ScriptedTarget first = harness.target(either);
    ScriptedTarget second = harness.target(either);
    Gateway gateway = harness.gateway(RouteKind.RESUMABLE_STREAMING, 2, first, second);
    String response = GatewayHarness.send(gateway, GatewayHarness.request(""));
    assertThat(response).contains("id: 1\ndata: a\n\n").contains("id: 2\ndata: b\n\n");
    assertThat(response.split("id: 2", -1)).hasSize(2);
    assertThat(response).endsWith("0\r\n\r\n");
    assertThat(first.requests().toString() + second.requests()).contains("last-event-id: 1");
  }

  /** Guards against a broken stream that appears complete to the caller. */
  @Test
  void closesBrokenStreamWithoutFinalChunk() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(
                  socket, STREAM_HEAD + GatewayHarness.chunk("id: 1\ndata: a\n\n"));
              socket.close();
            });
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 2, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request("")))
        .contains("data: a")
        .doesNotContain("0\r\n\r\n");
  }

  /** Guards against accepting keys that may have been revoked while the store was unreachable. */
  @Test
  void refusesRequestsWhenKnownKeysAreTooOld() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 200");
    harness.clock().setWallOffset(60_000);
    String response = GatewayHarness.send(gateway, GatewayHarness.request(""));
    assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After");
    assertThat(target.requests()).hasSize(1);
  }

  /** Guards against a request that crashes one target after another. */
  @Test
  void quarantinesRequestThatCrashesTargets() throws IOException {
    ScriptedTarget[] targets = new ScriptedTarget[6];
    for (int i = 0; i < targets.length; i++) {
      targets[i] = harness.target((number, socket) -> socket.close());
    }
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 2, targets);
    for (int i = 0; i < 20; i++) {
      assertThat(GatewayHarness.send(gateway, GatewayHarness.request("")))
          .startsWith("HTTP/1.1 502");
    }
    long crashed = Arrays.stream(targets).filter(target -> !target.requests().isEmpty()).count();
    assertThat(crashed).isEqualTo(CrashQuarantine.CRASH_THRESHOLD);
    int sends = Arrays.stream(targets).mapToInt(target -> target.requests().size()).sum();
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(Arrays.stream(targets).mapToInt(target -> target.requests().size()).sum())
        .isEqualTo(sends);
  }

  /** Guards against other status codes than 404 and 401 for unknown routes and keys. */
  @Test
  void rejectsUnknownRoutesAndKeys() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request("").replace("/a/", "/b/")))
        .startsWith("HTTP/1.1 404");
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request("").replace("secret", "guess")))
        .startsWith("HTTP/1.1 401");
  }

  /** Guards against a target that continues to work after the caller disconnected. */
  @Test
  void closesTargetConnectionWhenCallerDisconnects() throws Exception {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket, STREAM_HEAD + GatewayHarness.chunk("id: 1\ndata: a\n\n")));
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, target);
    try (Socket socket = new Socket("127.0.0.1", gateway.port())) {
      ScriptedTarget.write(socket, GatewayHarness.request(""));
      socket.getInputStream().read();
    }
    GatewayHarness.await(() -> target.closedConnections() > 0);
  }

  /** Guards against connections that callers hold open forever by stalling within a request. */
  @Test
  void closesConnectionWithStalledRequest() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    harness.setIdleTimeoutMillis(500);
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    String incomplete =
        GatewayHarness.request("").replace("Content-Length: 2", "Content-Length: 9");
    assertThat(GatewayHarness.send(gateway, incomplete)).isEmpty();
    assertThat(target.requests()).isEmpty();
  }

  /**
   * Guards against a request that reaches a target after its caller gave up, since it waited unread
   * while the event loop was blocked.
   */
  @Test
  void refusesRequestThatWaitedTooLongUnread() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 200");
    harness.clock().blockEventLoop(GatewayHarness.MAX_DELAY_MILLIS + 1_000);
    String response = GatewayHarness.send(gateway, GatewayHarness.request("deadline: 1000\r\n"));
    assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After");
    assertThat(target.requests()).hasSize(1);
    // The refusal has to count towards the reported demand of the organisation.
    assertThat(gateway.dispatcher().statistics().counts())
        .extractingByKey(new DispatchStatistics.Owner("s", "org"))
        .satisfies(
            counts ->
                assertThat(counts.refusedTokens()).containsKey(RefusalReason.EVENT_LOOP_DELAY));
  }

  /**
   * Guards against a request that reaches a target although its caller disconnected while it waited
   * unread.
   */
  @Test
  void dropsUnreadRequestOfDisconnectedCaller() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> ScriptedTarget.write(socket, COMPLETE.replace("r1", "r2")));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    harness.clock().blockEventLoop(1_000);
    for (int i = 0; i < 5; i++) {
      try (Socket socket = new Socket("127.0.0.1", gateway.port())) {
        ScriptedTarget.write(socket, GatewayHarness.request(""));
      }
    }
    String request = GatewayHarness.request("").replace("id: r1", "id: r2");
    assertThat(GatewayHarness.send(gateway, request)).startsWith("HTTP/1.1 200");
    assertThat(target.requests()).hasSize(1);
  }

  /** Guards against a planned stop that aborts an open request. */
  @Test
  void drainsOpenRequests() throws Exception {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              GatewayHarness.sleep(1_500);
              ScriptedTarget.write(socket, COMPLETE);
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    String[] response = {""};
    Thread caller =
        new Thread(
            () -> {
              try {
                response[0] = GatewayHarness.send(gateway, GatewayHarness.request(""));
              } catch (IOException e) {
                response[0] = e.toString();
              }
            });
    caller.start();
    GatewayHarness.await(() -> !target.requests().isEmpty());
    gateway.drain();
    caller.join();
    assertThat(response[0]).startsWith("HTTP/1.1 200").endsWith("ok");
  }
}
