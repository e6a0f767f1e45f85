package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Cases of {@link CallerServer} with callers that are slow. */
class CallerServerTest {

  /** Time limits of this test, in milliseconds. */
  private static final long LIMIT = 500;

  /** Router and agents. */
  private final RouterFixture fixture =
      new RouterFixture(CallerLimits.DEFAULT.withTimes(LIMIT, LIMIT, LIMIT));

  /** Stops everything. */
  @AfterEach
  void close() {
    fixture.close();
  }

  /** Guards against bodies that are held for callers that never finish them. */
  @Test
  void endsSlowBody() throws IOException {
    String text = start("PUT", "/services/orders/x") + "Content-Length: 10\r\n\r\nabc";
    try (Socket socket = fixture.connect(text)) {
      assertThat(readAll(socket))
          .startsWith("HTTP/1.1 408 ")
          .contains("request-timeout", "\"ran\":\"no\"");
    }
    assertThat(fixture.service.dispatches).isEmpty();
    RouterFixture.await(() -> fixture.metrics().contains("almondslip_incoming_body_bytes 0.0"));
  }

  /** Guards against connections that are held by callers that drip headers or send nothing. */
  @Test
  void endsSlowHeaders() throws IOException {
    try (Socket silent = fixture.connect("");
        Socket slow = fixture.connect("GET /services/orders/x HTTP/1.1\r\nHost: x\r\n")) {
      assertThat(silent.getInputStream().read()).isEqualTo(-1);
      assertThat(slow.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** Guards against answers that are held for callers that stop reading. */
  @Test
  void endsStalledReader() throws IOException {
    try (Socket socket = fixture.connect(start("GET", "/services/orders/big") + "\r\n")) {
      RouterFixture.await(() -> !fixture.service.cancelled.isEmpty());
      assertThat(socket.isConnected()).isTrue();
    }
    RouterFixture.await(() -> fixture.metrics().contains("almondslip_unread_answer_bytes 0.0"));
    RouterFixture.await(() -> fixture.metrics().contains("almondslip_open_exchanges 0.0"));
  }

  /** Guards against a caller that gets the answer to another request of its connection. */
  @Test
  void answersPipelinedRequestsInOrder() throws IOException {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      text.append(start("PUT", "/services/orders/x"))
          .append("Content-Length: 6\r\n\r\nbody-")
          .append(i);
    }
    String last = start("PUT", "/services/orders/x");
    try (Socket socket = fixture.connect(text + last + "Content-Length: 4\r\n\r\nlast")) {
      String answers = readAll(socket);
      int position = 0;
      for (int i = 0; i < 5; i++) {
        int found = answers.indexOf("body-" + i);
        assertThat(found).isGreaterThan(position);
        position = found;
      }
      assertThat(answers.indexOf("last")).isGreaterThan(position);
    }
  }

  /**
   * Builds the start of a request.
   *
   * @param method the method
   * @param path the path
   * @return the text without the empty line
   */
  private static String start(String method, String path) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + RouterFixture.KEY
        + "\r\n";
  }

  /**
   * Reads until the connection ends.
   *
   * @param socket the connection
   * @return the text
   * @throws IOException if reading fails
   */
  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
