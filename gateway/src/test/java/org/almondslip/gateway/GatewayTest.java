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

/** Cases of {@link Gateway} on sockets, with targets that break their protocol. */
@Timeout(60)
class GatewayTest {

  /** Answer that is complete. */
  private static final String COMPLETE =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  /** Answer that says that the request did not run. */
  private static final String NOT_RUN =
      "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

  /** Head of a stream. */
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Router, targets and callers. */
  private final GatewayHarness harness = new GatewayHarness();

  /** Closes everything. */
  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against an answer that is changed on its way, and a key that reaches a target. */
  @Test
  void passesWholeAnswerAndHidesTheKey() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    String answer =
        GatewayHarness.call(gateway, GatewayHarness.request("Organisation: forged\r\n"));
    assertThat(answer).startsWith("HTTP/1.1 200").contains("signed: x").endsWith("ok");
    assertThat(target.requests().get(0))
        .contains("organisation: org")
        .doesNotContain("forged")
        .doesNotContain("secret");
  }

  /** Guards against request smuggling by a body with two ends. */
  @Test
  void rejectsLengthBesideChunks() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    String answer =
        GatewayHarness.call(
            gateway,
            "POST /a/ HTTP/1.1\r\nHost: h\r\nid: r1\r\nkey: secret\r\nContent-Length: 5\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(answer).startsWith("HTTP/1.1 400");
    assertThat(answer.indexOf("HTTP/1.1", 1)).isNegative();
    assertThat(target.requests()).isEmpty();
  }

  /** Guards against giving a caller the late answer to another request. */
  @Test
  void dropsAnswerToAnotherRequest() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(socket, COMPLETE.replace("id: r1", "id: other")));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, target);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
  }

  /** Guards against an order that runs twice after its connection broke. */
  @Test
  void neverRepeatsOrderThatMayHaveRun() throws IOException {
    ScriptedTarget first = harness.target((number, socket) -> socket.close());
    ScriptedTarget second = harness.target((number, socket) -> socket.close());
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, first, second);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  /** Guards against failing an order that another target can still run. */
  @Test
  void sendsOrderElsewhereWhenItDidNotRun() throws IOException {
    ScriptedTarget first =
        harness.target((number, socket) -> ScriptedTarget.write(socket, NOT_RUN));
    ScriptedTarget second =
        harness.target((number, socket) -> ScriptedTarget.write(socket, NOT_RUN));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, first, second);
    String answer = GatewayHarness.call(gateway, GatewayHarness.request(""));
    assertThat(answer).startsWith("HTTP/1.1 503").contains("Retry-After");
    assertThat(first.requests()).hasSize(1);
    assertThat(second.requests()).hasSize(1);
  }

  /** Guards against more sends than a route allows. */
  @Test
  void keepsToTheAttemptsOfTheRoute() throws IOException {
    ScriptedTarget first = harness.target((number, socket) -> socket.close());
    ScriptedTarget second = harness.target((number, socket) -> socket.close());
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, first, second);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  /** Guards against pieces that are missing or come twice when a stream goes on elsewhere. */
  @Test
  void resumesStreamAfterTheLastWholeEvent() throws IOException {
    ScriptedTarget.Script script =
        (number, socket) -> {
          ScriptedTarget.write(
              socket,
              STREAM_HEAD
                  + GatewayHarness.chunk("id: 1\ndata: a\n\n")
                  + GatewayHarness.chunk("id: 2\nda"));
          socket.close();
        };
    ScriptedTarget.Script rest =
        (number, socket) ->
            ScriptedTarget.write(
                socket, STREAM_HEAD + GatewayHarness.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    // The first send of the stream breaks off wherever it goes; the second one continues.
    int[] sends = {0};
    ScriptedTarget.Script either =
        (number, socket) -> {
          int send = sends[0]++;
          (send == 0 ? script : rest).answer(number, socket);
        };
    ScriptedTarget first = harness.target(either);
    ScriptedTarget second = harness.target(either);
    Gateway gateway = harness.gateway(RouteKind.RESUMABLE_STREAMING, 2, first, second);
    String answer = GatewayHarness.call(gateway, GatewayHarness.request(""));
    assertThat(answer).contains("id: 1\ndata: a\n\n").contains("id: 2\ndata: b\n\n");
    assertThat(answer.split("id: 2", -1)).hasSize(2);
    assertThat(answer).endsWith("0\r\n\r\n");
    assertThat(first.requests().toString() + second.requests()).contains("last-event-id: 1");
  }

  /** Guards against a broken stream that looks complete to its caller. */
  @Test
  void closesBrokenStreamWithoutItsEnd() throws IOException {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(
                  socket, STREAM_HEAD + GatewayHarness.chunk("id: 1\ndata: a\n\n"));
              socket.close();
            });
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 2, target);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request("")))
        .contains("data: a")
        .doesNotContain("0\r\n\r\n");
  }

  /** Guards against serving keys that may have been taken away while the store was unreachable. */
  @Test
  void refusesRequestsWithKeysWhenTheKeysAreOld() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 200");
    harness.clock().setAhead(60_000);
    String answer = GatewayHarness.call(gateway, GatewayHarness.request(""));
    assertThat(answer).startsWith("HTTP/1.1 503").contains("Retry-After");
    assertThat(target.requests()).hasSize(1);
  }

  /** Guards against a request that crashes one target after the other. */
  @Test
  void holdsRequestThatCrashesTargets() throws IOException {
    ScriptedTarget[] targets = new ScriptedTarget[6];
    for (int i = 0; i < targets.length; i++) {
      targets[i] = harness.target((number, socket) -> socket.close());
    }
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 2, targets);
    for (int i = 0; i < 20; i++) {
      assertThat(GatewayHarness.call(gateway, GatewayHarness.request("")))
          .startsWith("HTTP/1.1 502");
    }
    long crashed = Arrays.stream(targets).filter(target -> !target.requests().isEmpty()).count();
    assertThat(crashed).isEqualTo(CrashQuarantine.CRASH_THRESHOLD);
    int sends = Arrays.stream(targets).mapToInt(target -> target.requests().size()).sum();
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 502");
    assertThat(Arrays.stream(targets).mapToInt(target -> target.requests().size()).sum())
        .isEqualTo(sends);
  }

  /** Guards against 404 and 401 for requests that no route or key allows being anything else. */
  @Test
  void answersUnknownRoutesAndKeys() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request("").replace("/a/", "/b/")))
        .startsWith("HTTP/1.1 404");
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request("").replace("secret", "guess")))
        .startsWith("HTTP/1.1 401");
  }

  /** Guards against a target that goes on working for a caller that has gone. */
  @Test
  void closesTargetConnectionWhenTheCallerLeaves() throws Exception {
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
    GatewayHarness.await(() -> target.closed() > 0);
  }

  /** Guards against connections held for ever by callers that stop within a request. */
  @Test
  void closesConnectionWhoseRequestStalls() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    harness.setIdleMillis(500);
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    String half = GatewayHarness.request("").replace("Content-Length: 2", "Content-Length: 9");
    assertThat(GatewayHarness.call(gateway, half)).isEmpty();
    assertThat(target.requests()).isEmpty();
  }

  /**
   * Guards against a request that reaches a target after its caller has gone, because it waited
   * unread while the event loop was busy.
   */
  @Test
  void refusesRequestThatWaitedTooLongForTheEventLoop() throws IOException {
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, COMPLETE));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.call(gateway, GatewayHarness.request(""))).startsWith("HTTP/1.1 200");
    harness.clock().stall(GatewayHarness.MAX_DELAY_MILLIS + 1_000);
    String answer = GatewayHarness.call(gateway, GatewayHarness.request("deadline: 1000\r\n"));
    assertThat(answer).startsWith("HTTP/1.1 503").contains("Retry-After");
    assertThat(target.requests()).hasSize(1);
    // The fleet has to know what the organisation of the refused request asked for.
    assertThat(gateway.dispatcher().statistics().counts())
        .extractingByKey(new DispatchStatistics.Owner("s", "org"))
        .satisfies(
            counts ->
                assertThat(counts.refusedTokens()).containsKey(RefusalReason.EVENT_LOOP_DELAY));
  }

  /** Guards against a planned stop that cuts off a request in progress. */
  @Test
  void drainsOpenRequests() throws Exception {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              GatewayHarness.sleep(1_500);
              ScriptedTarget.write(socket, COMPLETE);
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    String[] answer = {""};
    Thread caller =
        new Thread(
            () -> {
              try {
                answer[0] = GatewayHarness.call(gateway, GatewayHarness.request(""));
              } catch (IOException e) {
                answer[0] = e.toString();
              }
            });
    caller.start();
    GatewayHarness.await(() -> !target.requests().isEmpty());
    gateway.drain();
    caller.join();
    assertThat(answer[0]).startsWith("HTTP/1.1 200").endsWith("ok");
  }
}
