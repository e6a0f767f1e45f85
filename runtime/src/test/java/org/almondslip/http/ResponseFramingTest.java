package org.almondslip.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link ResponseFraming}. */
class ResponseFramingTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";

  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final ResponseFraming framing = new ResponseFraming();

  /** Guards against a sound response whose end is not found, however it is split. */
  @Property(tries = 300, seed = "34")
  void findsEndOfResponse(@ForAll @Size(30) List<@IntRange(min = 1, max = 20) Integer> cuts) {
    for (String response :
        List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.0 200\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n",
            "HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
            CHUNKED + "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nt: 1\r\n\r\n")) {
      ResponseFraming own = new ResponseFraming();
      own.onRequest(false);
      int from = 0;
      for (int i = 0; from < response.length(); i++) {
        int size = i < cuts.size() ? cuts.get(i) : response.length();
        int to = Math.min(response.length(), from + size);
        assertThat(read(own, response.substring(from, to))).isEqualTo(to - from);
        assertThat(own.violation()).as(response).isEmpty();
        from = to;
      }
      assertThat(read(own, "H")).isZero();
      assertThat(own.violation()).as(response).isPresent();
    }
  }

  /** Guards against bytes after a response that become part of the next one. */
  @Test
  void separatesBytesAfterResponse() {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    framing.onRequest(false);
    assertThat(read(framing, response + "HTTP")).isEqualTo(response.length());
    assertThat(framing.violation()).isPresent();
  }

  /** Guards against bytes that are taken for a response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n",
        "ok\r\n",
        "HTTP/1.1 20\r\n",
        "HTTP/2 200 OK\r\n",
        "HHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 HTTP/1.1 500 Error\r\n",
        "HTTP/1.1 200 OK\r\na: HTTP/1.1 500 Error\r\n",
        "HTTP/1.1 200 OK\r\nHTTP/1.0 500 Error\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
        CHUNKED + "x\r\n",
        CHUNKED + "\r\n",
        CHUNKED + "fffffffff\r\n",
        CHUNKED + "1 \r\n",
        CHUNKED + " 1\r\n",
        CHUNKED + "1\n",
        CHUNKED + "1;\r\n",
        CHUNKED + "1;a=\r\n",
        CHUNKED + "1;a=\"b\r\n",
        CHUNKED + "1;a=\"\u0000\"\r\n",
        CHUNKED + "1\r\nx\n",
        CHUNKED + "1\r\nxy",
        CHUNKED + "1\r\nx\ry",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\r\n",
        "HTTP/1.1 200 OK\r\r\n"
      })
  void rejectsInvalidBytes(String bytes) {
    framing.onRequest(false);
    assertThat(read(framing, bytes)).isZero();
    assertThat(framing.violation()).isPresent();
    assertThat(framing.isResponseComplete()).isFalse();
  }

  /** Guards against status codes that mean nothing, and against the loss of those that do. */
  @Test
  void acceptsStatusCodesOfResponsesOnly() {
    for (int status = 0; status < 1_000; status++) {
      boolean valid = status >= 100 && status < 600 && status != 101;
      String code = String.format(Locale.ROOT, "%03d", status);
      assertThat(isValid("HTTP/1.1 " + code + " Text\r\n")).as(code).isEqualTo(valid);
      assertThat(isValid("HTTP/1.0 " + code + "\r\n")).as(code).isEqualTo(valid);
    }
  }

  /** Guards against names that a decoder repairs, and against the loss of unusual ones. */
  @Test
  void acceptsTokensAsNamesOnly() {
    String token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    for (char c = 0; c < 256; c++) {
      boolean valid = token.indexOf(c) >= 0;
      String what = "byte " + (int) c;
      if (c != '\n') {
        assertThat(isValid(HEAD + c + ": v\r\n")).as(what).isEqualTo(valid);
        assertThat(isValid(HEAD + c + "x: v\r\n")).as(what).isEqualTo(valid);
      }
      assertThat(isValid(HEAD + "x" + c + ": v\r\n")).as(what).isEqualTo(valid || c == ':');
      assertThat(isValid(HEAD + "x" + c + "y: v\r\n")).as(what).isEqualTo(valid || c == ':');
      assertThat(isValid(CHUNKED + "0\r\nx" + c + "y: v\r\n"))
          .as(what)
          .isEqualTo(valid || c == ':');
    }
  }

  /** Guards against control characters in values and reasons, and against the loss of others. */
  @Test
  void acceptsTextAsValuesOnly() {
    for (char c = 0; c < 256; c++) {
      boolean valid = c == '\t' || c >= ' ' && c != 127;
      String what = "byte " + (int) c;
      assertThat(isValid(HEAD + "x: a" + c + "b: c\r\n")).as(what).isEqualTo(valid || c == '\n');
      assertThat(isValid(CHUNKED + "0\r\nx:" + c + "b: c\r\n"))
          .as(what)
          .isEqualTo(valid || c == '\n');
      if (c != '\n') {
        assertThat(isValid("HTTP/1.1 200 a" + c + "b\r\n")).as(what).isEqualTo(valid);
        assertThat(isValid(HEAD + "x: a" + c + "\r\n")).as(what).isEqualTo(valid);
      }
    }
  }

  /** Guards against the loss of a sound response for a rare form. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + "x:\r\ny: \t \r\nz:a\r\nContent-Length:\t0 \r\n\r\n",
        HEAD + "CONTENT-LENGTH: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n\r\n0\r\n\r\n",
        CHUNKED + "1;a;b=c ; d = \"e \\\" f\"\r\nx\r\n00\r\nt:\r\n\r\n",
        CHUNKED + "F\r\n0123456789abcde\r\n0;z\r\n\r\n",
        "HTTP/1.1 100 \r\n\r\nHTTP/1.1 102 Work\r\nx: y\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
        "HTTP/1.1 304 Same\r\nTransfer-Encoding: chunked\r\n\r\n"
      })
  void acceptsRareForms(String response) {
    framing.onRequest(false);
    assertThat(read(framing, response)).isEqualTo(response.length());
    assertThat(framing.violation()).isEmpty();
    assertThat(framing.isResponseComplete()).isTrue();
  }

  /** Guards against a violation that operators cannot tell from others. */
  @ParameterizedTest
  @EnumSource(
      value = ResponseViolation.class,
      names = {"LINE_SIZE", "HEAD_SIZE", "CHUNK_OVERHEAD", "UNEXPECTED_BYTES"},
      mode = EnumSource.Mode.EXCLUDE)
  void namesViolation(ResponseViolation violation) {
    String bytes =
        switch (violation) {
          case STATUS_LINE -> "ok\r\n";
          case STATUS_CODE -> "HTTP/1.1 000 Trouble\r\n";
          case RESPONSE_WITHIN_HEAD -> HEAD + "a: HTTP/1.1 500 Error\r\n";
          case RESPONSE_WITHIN_BODY -> HEAD + "\r\nbody" + HEAD + "a: b\r\n";
          case FIELD_NAME -> HEAD + "a b: c\r\n";
          case FIELD_VALUE -> HEAD + "a: \u0000\r\n";
          case FOLDED_LINE -> HEAD + "a: b\r\n c\r\n";
          case LENGTH -> HEAD + "Content-Length: x\r\n";
          default -> CHUNKED + "1\r\nx2\r\n";
        };
    framing.onRequest(false);
    assertThat(read(framing, bytes)).isZero();
    assertThat(framing.violation()).contains(violation);
  }

  /** Guards against a response that counts as complete although its last part is too large. */
  @Test
  void tooLargeTrailersEndNoResponse() {
    String fields = "a: b\r\n".repeat(ResponseFraming.MAX_HEAD_BYTES / 6 + 1);
    framing.onRequest(false);
    assertThat(read(framing, CHUNKED + "0\r\n" + fields + "\r\n")).isZero();
    assertThat(framing.isResponseComplete()).isFalse();
  }

  /** Guards against a head in a body without length that is missed since it comes in pieces. */
  @Test
  void findsHeadInBodyWithoutLength() {
    framing.onRequest(false);
    read(framing, "HTTP/1.1 200 OK\r\na: b\r\n\r\n" + "x".repeat(10_000));
    for (char next : "HTTP/1.1 500 Internal Error\r\nContent-Type".toCharArray()) {
      assertThat(read(framing, String.valueOf(next))).isEqualTo(1);
    }
    assertThat(framing.violation()).isEmpty();
    assertThat(read(framing, ": a")).isZero();
    assertThat(framing.violation()).isPresent();
  }

  /** Guards against a response to a HEAD request whose length is taken for that of its body. */
  @Test
  void responseToHeadRequestHasNoBody() {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
    framing.onRequest(true);
    assertThat(read(framing, head)).isEqualTo(head.length());
    framing.onRequest(true);
    assertThat(read(framing, head)).isEqualTo(head.length());
    assertThat(framing.violation()).isEmpty();
  }

  /** Guards against bytes without end at each place that has no length. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "|x",
        "HTTP/1.1 200 OK\r\n|a",
        "HTTP/1.1 200 OK\r\n|a: b\r\n",
        "|HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n",
        CHUNKED + "1;|a",
        CHUNKED + "|1\r\nx\r\n",
        CHUNKED + "0\r\n|a: b\r\n",
        CHUNKED + "1\r\nx|y"
      })
  void endsBytesWithoutEnd(String text) {
    int bar = text.indexOf('|');
    String repeated = text.substring(bar + 1).repeat(1_000);
    framing.onRequest(false);
    read(framing, text.substring(0, bar));
    long bytes = 0;
    while (framing.violation().isEmpty() && bytes < 10 * ResponseFraming.MAX_CHUNK_OVERHEAD_BYTES) {
      read(framing, repeated);
      bytes += repeated.length();
    }
    assertThat(framing.violation()).isPresent();
  }

  /** Guards against a body with chunks of a usual size that is rejected. */
  @Test
  void acceptsBodyOfManyChunks() {
    String chunk = "10\r\nid: 1\ndata: ab\n\n\r\n";
    framing.onRequest(false);
    read(framing, CHUNKED);
    for (int i = 0; i < 300; i++) {
      read(framing, chunk.repeat(1_000));
    }
    assertThat(framing.violation()).isEmpty();
  }

  /** Returns whether bytes may begin a response. */
  private static boolean isValid(String bytes) {
    ResponseFraming own = new ResponseFraming();
    own.onRequest(false);
    read(own, bytes);
    return own.violation().isEmpty();
  }

  private static int read(ResponseFraming framing, String text) {
    ByteBuf data = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    return framing.read(data);
  }
}
