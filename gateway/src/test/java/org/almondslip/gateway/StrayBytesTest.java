package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link Gateway} with a target that sends a part of an earlier response once more, before
 * the next response.
 */
@Timeout(120)
class StrayBytesTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok";

  private static final String ERROR =
      "HTTP/1.1 500 Internal Error\r\nsigned: y\r\nid: r1\r\nContent-Length: 6\r\n\r\nfailed";

  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Type: text/plain\r\nid: r1\r\n"
          + "Content-Length: 4\r\n\r\nfull";

  /** Size of the pieces in which the cuts of a response grow, in bytes. */
  private static final int CUT_STEP = 9;

  private static final long IDLE_MILLIS = 20;

  private final GatewayHarness harness = new GatewayHarness();

  /** Where the stray bytes appear on the connection. */
  enum Position {
    /** In one piece with the end of the earlier response. */
    WITH_EARLIER_RESPONSE,
    /** While the connection is idle. */
    WHILE_IDLE,
    /** After the next request was sent, in one piece with its response. */
    WITH_NEXT_RESPONSE
  }

  /** Responses to two requests, and the bytes between them. */
  private record Exchange(Position position, String earlier, String stray, String next) {

    private void respond(String request, Socket socket) throws IOException {
      if (request.contains("id: r3")) {
        ScriptedTarget.write(socket, OK.replace("r1", "r3"));
      } else if (request.contains("id: r2")) {
        ScriptedTarget.write(socket, position == Position.WITH_NEXT_RESPONSE ? stray + next : next);
      } else {
        ScriptedTarget.write(
            socket, position == Position.WITH_EARLIER_RESPONSE ? earlier + stray : earlier);
        if (position == Position.WHILE_IDLE) {
          GatewayHarness.sleep(IDLE_MILLIS / 2);
          ScriptedTarget.write(socket, stray);
        }
      }
    }
  }

  private volatile Exchange current;

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a part of an earlier response that becomes the beginning of the next one. */
  @ParameterizedTest
  @EnumSource(Position.class)
  void partOfEarlierResponseDoesNotChangeNextOne(Position position) throws IOException {
    ScriptedTarget[] target = new ScriptedTarget[1];
    target[0] =
        harness.target(
            (number, socket) -> current.respond(target[0].requests().get(number), socket));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 2, target[0]);
    for (String earlier : List.of(OK, ERROR, NOT_EXECUTED)) {
      for (String next : List.of(OK, ERROR)) {
        for (int length = 1; length <= earlier.length(); length += CUT_STEP) {
          String stray = earlier.substring(0, length);
          check(
              gateway, target[0], new Exchange(position, earlier, stray, next.replace("r1", "r2")));
        }
      }
    }
  }

  /** Guards against a second response whose length is taken from a part of an earlier one. */
  @Test
  void lengthOfEarlierResponseDoesNotEndNextOne() throws IOException {
    String stray = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nContent-Type: ";
    String stream =
        "HTTP/1.1 200 OK\r\nid: r2\r\nsigned: x\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, number == 0 ? OK : stray + stream);
              if (number > 0) {
                socket.close();
              }
            });
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    assertThat(send(gateway, "r1")).startsWith("HTTP/1.1 200");
    assertThat(send(gateway, "r2")).startsWith("HTTP/1.1 502");
  }

  /** Guards against a second copy that becomes a part of a body which ends with its connection. */
  @ParameterizedTest
  @ValueSource(strings = {"ok", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"})
  void secondCopyIsNoPartOfBodyWithoutLength(String body) throws IOException {
    boolean stream = body.startsWith("id");
    String response = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\n\r\n" + body;
    for (int length : new int[] {22, 40, response.length()}) {
      ScriptedTarget target =
          harness.target(
              (number, socket) -> {
                ScriptedTarget.write(socket, response);
                GatewayHarness.sleep(IDLE_MILLIS);
                ScriptedTarget.write(socket, response.substring(0, length));
                socket.close();
              });
      Gateway gateway =
          harness.gateway(stream ? RouteKind.STREAMING : RouteKind.NON_IDEMPOTENT, 1, target);
      String received = send(gateway, "r1");
      assertThat(received).containsOnlyOnce("HTTP/1.1").doesNotEndWith("0\r\n\r\n");
      assertThat(received).startsWith(stream ? "HTTP/1.1 200" : "HTTP/1.1 502");
    }
  }

  /** Guards against a sound connection that is closed after an interim or an empty response. */
  @Test
  void reusesConnectionAfterSoundResponses() throws IOException {
    List<String> responses = new ArrayList<>();
    responses.add("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK);
    responses.add(
        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nid: r1\r\nsigned: x\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nTrailer: c\r\n\r\n");
    responses.add("HTTP/1.1 200\r\nid: r1\r\nsigned: x\r\nContent-Length: 0\r\n\r\n");
    responses.add(OK);
    responses.add("HTTP/1.1 204 None\r\nid: r1\r\nsigned: x\r\n\r\n");
    ScriptedTarget target =
        harness.target((number, socket) -> ScriptedTarget.write(socket, responses.get(number)));
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    for (String response : responses) {
      assertThat(send(gateway, "r1")).as(response).startsWith("HTTP/1.1 20");
    }
    assertThat(target.connections()).isEqualTo(1);
  }

  private void check(Gateway gateway, ScriptedTarget target, Exchange exchange) throws IOException {
    current = exchange;
    send(gateway, "r1");
    if (exchange.position == Position.WHILE_IDLE) {
      GatewayHarness.sleep(IDLE_MILLIS);
    }
    int before = target.requests().size();
    String response = send(gateway, "r2");
    String what = exchange.toString();
    // A connection that is closed while the request is on its way may prevent its run.
    assertThat(target.requests()).as(what).hasSizeBetween(before, before + 1);
    if (response.contains("signed")) {
      assertThat(response).as(what).startsWith(exchange.next.substring(0, 12)).contains("id: r2");
      assertThat(response)
          .as(what)
          .endsWith(exchange.next.substring(exchange.next.indexOf("\r\n\r\n")));
    } else {
      assertThat(response).as(what).startsWith("HTTP/1.1 502");
    }
    // A success keeps the target from being ejected.
    assertThat(send(gateway, "r3")).as(what).startsWith("HTTP/1.1 200");
  }

  private static String send(Gateway gateway, String id) throws IOException {
    return GatewayHarness.send(gateway, GatewayHarness.request("").replace("id: r1", "id: " + id));
  }
}
