package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Header;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Cases of {@link Router} over HTTP and TCP. */
class RouterTest {

  /** Router and agents. */
  private final RouterFixture fixture =
      new RouterFixture(CallerLimits.DEFAULT.withSizes(64 << 10, 4 << 10));

  /** Stops everything. */
  @AfterEach
  void close() {
    fixture.close();
  }

  /** Guards against a break anywhere between a caller and an agent. */
  @Test
  void streamsModelCall() {
    HttpResponse<String> answer =
        fixture.send("POST", Route.CHAT, "{\"model\":\"belt\",\"stream\":true}");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n");
  }

  /** Guards against a key that reaches a target, and against lost fields of the request. */
  @Test
  void passesRequestToService() {
    HttpResponse<String> answer =
        fixture.send(
            "PUT",
            "/services/orders/stock/7?fresh=1",
            "hello",
            "Idempotency-Key",
            "k-1",
            "X-Request-Timeout-Ms",
            "9000",
            "X-Trace",
            "t");
    assertThat(answer.body()).isEqualTo("hello");
    Dispatch dispatch = fixture.service.dispatches.get(0);
    assertThat(dispatch.getPath()).isEqualTo("/stock/7?fresh=1");
    assertThat(dispatch.getMethod()).isEqualTo("PUT");
    assertThat(dispatch.getIdempotencyKey()).isEqualTo("k-1");
    assertThat(dispatch.getDeadlineMs()).isBetween(1, 9_000);
    assertThat(dispatch.getHeadersList())
        .extracting(Header::getName)
        .contains("x-trace")
        .doesNotContain("authorization", "host", "idempotency-key");
  }

  /** Guards against callers without a valid key and against refusals without documented form. */
  @Test
  void refusesWrongKeys() throws IOException {
    for (String key : new String[] {"Bearer nobody", "Bearer old-key", "Basic x", ""}) {
      String text = "GET /services/orders/x HTTP/1.1\r\nHost: x\r\nAuthorization: " + key;
      try (Socket socket = fixture.connect(text + "\r\n\r\n")) {
        String answer = read(socket);
        assertThat(answer).startsWith("HTTP/1.1 401 ").contains("\"code\":\"unauthorized\"");
        assertThat(answer).contains("\"ran\":\"no\"").contains("application/problem+json");
      }
    }
  }

  /** Guards against malformed requests that reach the decisions. */
  @Test
  void refusesMalformedRequests() {
    assertThat(code(fixture.send("POST", Route.CHAT, "{\"model\":"))).isEqualTo("bad-request");
    assertThat(code(fixture.send("POST", Route.CHAT, "{\"n\":1}"))).isEqualTo("bad-request");
    assertThat(code(fixture.send("GET", Route.CHAT, ""))).isEqualTo("method-not-allowed");
    assertThat(code(fixture.send("GET", "/nothing", ""))).isEqualTo("not-found");
    assertThat(code(fixture.send("GET", "/services/none/x", ""))).isEqualTo("unknown-pool");
    assertThat(code(fixture.send("GET", "/services/belt/x", ""))).isEqualTo("unknown-pool");
    assertThat(code(fixture.send("GET", "/services/orders/x", "", CallerHeaders.TIMEOUT, "0")))
        .isEqualTo("bad-request");
    String key = "k".repeat(256);
    assertThat(code(fixture.send("POST", "/services/orders/x", "", "Idempotency-Key", key)))
        .isEqualTo("bad-request");
    assertThat(fixture.service.dispatches).isEmpty();
  }

  /** Guards against memory that one caller can take with its body or headers. */
  @Test
  void refusesLargeBodyAndHeaders() {
    String body = "x".repeat((64 << 10) + 1);
    assertThat(code(fixture.send("PUT", "/services/orders/x", body))).isEqualTo("body-too-large");
    HttpResponse<String> headers =
        fixture.send("GET", "/services/orders/x", "", "X-Large", "x".repeat(5_000));
    assertThat(code(headers)).isEqualTo("headers-too-large");
  }

  /** Guards against an incomplete answer that looks complete. */
  @Test
  void breaksConnectionOfIncompleteAnswer() {
    assertThatThrownBy(() -> fixture.send("POST", "/services/orders/broken", ""))
        .isInstanceOf(UncheckedIOException.class);
  }

  /** Guards against a refusal that hides that nothing ran, or does not say when to return. */
  @Test
  void tellsThatRequestDidNotRun() {
    HttpResponse<String> answer = fixture.send("POST", "/services/orders/refused", "");
    assertThat(code(answer)).isEqualTo("no-target");
    assertThat(answer.body()).contains("\"ran\":\"no\"");
    assertThat(answer.headers().firstValue("Retry-After")).contains("1");
    assertThat(fixture.service.dispatches).hasSize(3);
  }

  /** Guards against requests that run on for callers that have hung up. */
  @Test
  void cancelsWhenCallerHangsUp() throws IOException {
    try (Socket socket = fixture.connect(get("/services/orders/hang"))) {
      RouterFixture.await(() -> !fixture.service.dispatches.isEmpty());
      assertThat(socket.isConnected()).isTrue();
    }
    RouterFixture.await(() -> !fixture.service.cancelled.isEmpty());
    RouterFixture.await(() -> fixture.metrics().contains("almondslip_open_exchanges 0.0"));
  }

  /** Guards against answers that pile up for a caller that does not read. */
  @Test
  void stopsAgentWhileCallerDoesNotRead() throws IOException {
    try (Socket socket = fixture.connect(get("/services/orders/big"))) {
      RouterFixture.await(() -> fixture.service.sentBytes.get() > 0);
      long before = -1;
      while (before != fixture.service.sentBytes.get()) {
        before = fixture.service.sentBytes.get();
        fixture.metrics();
      }
      assertThat(fixture.service.sentBytes.get()).isLessThan(TcpAgent.BIG);
      int total = socket.getInputStream().readNBytes(TcpAgent.BIG).length;
      assertThat(total).isEqualTo(TcpAgent.BIG);
    }
  }

  /** Guards against a planned stop that interrupts a request or takes a new one. */
  @Test
  void drainsWithoutInterruption() throws Exception {
    Thread drain = new Thread(fixture.router::drain);
    try (Socket socket = fixture.connect(get("/services/orders/big"))) {
      RouterFixture.await(() -> fixture.service.sentBytes.get() > 0);
      drain.start();
      RouterFixture.await(
          () -> code(fixture.send("GET", "/services/orders/x", "")).equals("draining"));
      int total = socket.getInputStream().readNBytes(TcpAgent.BIG).length;
      assertThat(total).isEqualTo(TcpAgent.BIG);
    }
    drain.join();
  }

  /**
   * Builds a GET request.
   *
   * @param path the path
   * @return the text of the request
   */
  private static String get(String path) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + RouterFixture.KEY
        + "\r\n\r\n";
  }

  /**
   * Returns the code of a problem document.
   *
   * @param answer the answer
   * @return the code
   */
  private static String code(HttpResponse<String> answer) {
    return answer.body().replaceAll("(?s).*\"code\":\"([^\"]*)\".*", "$1");
  }

  /**
   * Reads until the connection ends.
   *
   * @param socket the connection
   * @return the text
   * @throws IOException if reading fails
   */
  private static String read(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
