package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of {@link Gateway} with targets whose responses do not follow the grammar of RFC 9112. */
@Timeout(240)
class InvalidResponseTest {

  private static final String EVENT = "id: 1\ndata: a\n\n";

  private static final String FIELDS = "id: r1\r\nsigned: x\r\n";

  private static final String LENGTH = "Content-Length: 15\r\n\r\n" + EVENT;

  private static final String OK = "HTTP/1.1 200 OK\r\n" + FIELDS;

  private static final String SOUND = OK + LENGTH;

  private static final String CHUNK = "f\r\n" + EVENT + "\r\n";

  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  /** Bytes that no name of a header field holds. */
  private static final List<String> INVALID_IN_NAMES =
      List.of("\r", " ", "\t", "\u0000", "\u0001", "\u000e", "\u0010", "\u007f", "\u0080", "é");

  /** Bytes that no value of a header field and no reason phrase holds. */
  private static final List<String> INVALID_IN_VALUES =
      List.of("\u0000", "\u0001", "\b", "\u000e", "\f", "\r", "\u001b", "\u0010", "\u007f");

  private final GatewayHarness harness = new GatewayHarness();

  private final ResponseScript script = new ResponseScript();

  /** A router with a target for each kind of route. */
  private final Map<RouteKind, Gateway> gateways = new EnumMap<>(RouteKind.class);

  /** Where the invalid response appears. */
  enum Connection {
    NEW(SOUND.replace("signed", "Connection: close\r\nsigned")),
    KEPT(SOUND);

    private final String before;

    Connection(String before) {
      this.before = before;
    }
  }

  /** Responds to each request with the current response, and to others with a sound one. */
  private static final class ResponseScript {

    private volatile Connection connection = Connection.NEW;

    private volatile String current = SOUND;

    private void respond(String request, Socket socket) throws IOException {
      boolean sound = !request.contains("id: r1");
      ScriptedTarget.write(socket, sound ? connection.before.replace("r1", "r2") : current);
      if (!sound || connection == Connection.NEW) {
        // The kernel sends what was written, and then the end of the stream.
        socket.shutdownOutput();
      }
    }
  }

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a status code that callers get although it means nothing. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void statusLineIsChecked(Connection connection) throws IOException {
    for (String line :
        List.of(
            "HTTP/1.1 000 Trouble",
            "HTTP/1.1 000 ",
            "HTTP/1.1 000",
            "HTTP/1.0 000 Trouble",
            "HTTP/1.1 001 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 600 OK",
            "HTTP/1.1 999 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 -20 OK",
            "HTTP/1.1  200 OK",
            "HTTP/1.1\t200 OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 200OK",
            " HTTP/1.1 200 OK",
            "\u0000HTTP/1.1 200 OK",
            "http/1.1 200 OK",
            "HTTP/2.0 200 OK",
            "HTTP/1.1 101 Switching Protocols")) {
      check(connection, line + "\r\n" + FIELDS + LENGTH);
      check(connection, line + "\r\n" + SOUND);
    }
    for (String invalid : INVALID_IN_VALUES) {
      check(connection, "HTTP/1.1 200 O" + invalid + "K\r\n" + FIELDS + LENGTH);
    }
  }

  /** Guards against a line of a head that callers get, or that the decoder reads otherwise. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void namesOfFieldsAreChecked(Connection connection) throws IOException {
    for (String invalid : INVALID_IN_NAMES) {
      for (String name : List.of("a", "Content-Length", "Transfer-Encoding", "id")) {
        for (String line :
            List.of(
                name + invalid + ": 3",
                name + invalid + "b: 3",
                invalid + name + ": 3",
                name.charAt(0) + invalid + name.substring(1) + "x: 3")) {
          check(connection, OK + line + "\r\n" + LENGTH);
        }
      }
      check(connection, "HTTP/1.1 200 OK\r\n" + invalid + "a: b\r\n" + FIELDS + LENGTH);
    }
    for (String line : List.of(": b", "ab", "a(b): c", "a/b: c", "\"a\": b", "a@b: c", "{a}: b")) {
      check(connection, OK + line + "\r\n" + LENGTH);
    }
  }

  /** Guards against a body whose length the guard and the decoder take from different lines. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void lineWithInvalidNameGivesNoLength(Connection connection) throws IOException {
    for (String invalid : INVALID_IN_NAMES) {
      check(connection, OK + "Content-Length" + invalid + ": 5\r\n\r\n" + EVENT);
      check(connection, OK + "Content-Length" + invalid + "x: 5\r\n\r\n" + EVENT);
      check(connection, OK + "Transfer-Encoding" + invalid + ": chunked\r\n\r\n" + CHUNK);
      check(connection, OK + "a: b\r\n" + invalid + "Content-Length: 5\r\n\r\n" + EVENT);
    }
  }

  /** Guards against control bytes that reach callers in values. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void valuesOfFieldsAreChecked(Connection connection) throws IOException {
    for (String invalid : INVALID_IN_VALUES) {
      check(connection, OK + "a: b" + invalid + "c\r\n" + LENGTH);
      check(connection, OK + "a:" + invalid + "\r\n" + LENGTH);
      check(connection, OK + "a: b" + invalid + "\r\n" + LENGTH);
    }
  }

  /** Guards against a body that ends where the target did not end it. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void lengthOfBodyIsUnambiguous(Connection connection) throws IOException {
    for (String fields :
        List.of(
            "Content-Length: 15\r\nContent-Length: 16",
            "Content-Length: 15, 16",
            "Content-Length: +15",
            "Content-Length: 0xf",
            "Content-Length:",
            "Content-Length: 1 5",
            "Content-Length: 99999999999999999999",
            "Transfer-Encoding: chunked\r\nContent-Length: 15")) {
      check(connection, OK + fields + "\r\n\r\n" + EVENT);
    }
    for (String fields :
        List.of(
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: chunked;a=b",
            "Transfer-Encoding: identity",
            "Transfer-Encoding:",
            "Transfer-Encoding: chunked\r\nContent-Length: 15")) {
      check(connection, OK + fields + "\r\n\r\n" + CHUNK + END_OF_CHUNKS);
    }
    check(connection, CHUNKED.replace("1.1", "1.0") + CHUNK + END_OF_CHUNKS);
  }

  /** Guards against chunks that the guard and the decoder read differently. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void chunksAreChecked(Connection connection) throws IOException {
    for (String size :
        List.of(
            "f ",
            "\tf",
            " f",
            "+f",
            "0xf",
            "-f",
            "f;",
            "f;\u0000",
            "f;a=b\u0000",
            "f a",
            "f;a b",
            "")) {
      check(connection, CHUNKED + size + "\r\n" + EVENT + "\r\n" + END_OF_CHUNKS);
    }
    check(connection, CHUNKED + "f\n" + EVENT + "\r\n" + END_OF_CHUNKS);
    check(connection, CHUNKED + "f\r\r\n" + EVENT + "\r\n" + END_OF_CHUNKS);
    check(connection, CHUNKED + "f\r\n" + EVENT + "\n" + END_OF_CHUNKS);
    check(connection, CHUNKED + "f\r\n" + EVENT + "x\r\n" + END_OF_CHUNKS);
    check(connection, CHUNKED + CHUNK + "0\n\r\n");
    check(connection, CHUNKED + CHUNK + "0 \r\n\r\n");
  }

  /** Guards against trailers that are not checked as the head is. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void trailersAreChecked(Connection connection) throws IOException {
    for (String invalid : INVALID_IN_NAMES) {
      check(connection, CHUNKED + CHUNK + "0\r\na" + invalid + ": b\r\n\r\n");
      check(connection, CHUNKED + CHUNK + "0\r\na" + invalid + "b: c\r\n\r\n");
      check(connection, CHUNKED + CHUNK + "0\r\n" + invalid + "a: b\r\n\r\n");
    }
    for (String invalid : INVALID_IN_VALUES) {
      check(connection, CHUNKED + CHUNK + "0\r\na: b" + invalid + "c\r\n\r\n");
    }
    check(connection, CHUNKED + CHUNK + "0\r\nab\r\n\r\n");
    check(connection, CHUNKED + CHUNK + "0\r\n: b\r\n\r\n");
  }

  /** Guards against interim responses that are not checked as the final one is. */
  @ParameterizedTest
  @EnumSource(Connection.class)
  void interimResponsesAreChecked(Connection connection) throws IOException {
    for (String status : List.of("100 Continue", "103 Early Hints")) {
      String line = "HTTP/1.1 " + status + "\r\n";
      for (String invalid : INVALID_IN_NAMES) {
        check(connection, line + "a" + invalid + ": b\r\n\r\n" + SOUND);
        check(connection, line + "a" + invalid + "b: c\r\n\r\n" + SOUND);
        check(connection, line + invalid + "a: b\r\n\r\n" + SOUND);
      }
      for (String invalid : INVALID_IN_VALUES) {
        check(connection, line + "a: b" + invalid + "c\r\n\r\n" + SOUND);
      }
    }
    check(connection, "HTTP/1.1 000 Trouble\r\n\r\n" + SOUND);
    check(connection, "HTTP/1.1 099 Trouble\r\n\r\n" + SOUND);
    check(connection, "HTTP/1.1 101 Switching Protocols\r\n\r\n" + SOUND);
  }

  /**
   * Sends requests of each kind to a target with an invalid response.
   *
   * @param connection where the response appears
   * @param response the response to the first request
   */
  private void check(Connection connection, String response) throws IOException {
    script.connection = connection;
    script.current = response;
    for (RouteKind kind :
        List.of(RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING)) {
      Gateway gateway = gateway(kind);
      // A sound response keeps the target from being ejected.
      String sound = GatewayHarness.request("").replace("id: r1", "id: r2");
      String what = kind + ", " + connection + ", " + escape(response);
      assertThat(GatewayHarness.send(gateway, sound)).as(what).startsWith("HTTP/1.1 200");
      String received = GatewayHarness.send(gateway, GatewayHarness.request(""));
      if (kind.streaming() && received.startsWith("HTTP/1.1 200")) {
        assertThat(received).as(what).doesNotEndWith(END_OF_CHUNKS);
      } else {
        assertThat(received).as(what).startsWith("HTTP/1.1 502");
      }
    }
  }

  private Gateway gateway(RouteKind kind) throws IOException {
    Gateway started = gateways.get(kind);
    if (started == null) {
      ScriptedTarget[] target = new ScriptedTarget[1];
      target[0] =
          harness.target(
              (number, socket) -> script.respond(target[0].requests().get(number), socket));
      started = harness.gateway(kind, 1, target[0]);
      gateways.put(kind, started);
    }
    return started;
  }

  private static String escape(String text) {
    StringBuilder escaped = new StringBuilder();
    for (char c : text.toCharArray()) {
      boolean printable = c >= ' ' && c < 0x7f;
      escaped.append(printable ? String.valueOf(c) : String.format(Locale.ROOT, "<%02x>", (int) c));
    }
    return escaped.toString();
  }
}
