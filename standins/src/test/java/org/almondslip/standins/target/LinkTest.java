package org.almondslip.standins.target;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the relay: what it passes on must be unchanged, and a refused connection must fail. */
final class LinkTest {

  private final Vertx vertx = Vertx.vertx();

  private final TargetServer.BoundStandin service =
      new TargetServer(
              "desk",
              "127.0.0.1:0",
              new PlainService(new ServiceSettings(1, 2), vertx, Clock.Standard.SYSTEM))
          .toStandin(vertx);

  @AfterEach
  void close() {
    service.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Link link(String target) {
    LinkSettings.Route route = new LinkSettings.Route("127.0.0.1:0", target);
    Link link = new Link("link", new LinkSettings("127.0.0.1:0", 400, List.of(route)), vertx);
    link.start();
    return link;
  }

  @Test
  void openConnectionsGoSilentWhileNewOnesWork() throws Exception {
    service.start();
    try (Link link = link("127.0.0.1:" + service.port());
        Socket old = new Socket("127.0.0.1", link.routePorts().get(0))) {
      old.getOutputStream().write("GET /health HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8));
      assertThat(old.getInputStream().read()).isEqualTo('H');
      new Client(link.controlPort()).send("POST", "/faults", "{\"silenceOpen\":true}");
      int served = new Client(service.port()).get("/runs").path("begun").asInt();
      old.getOutputStream().write("GET /stock HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8));
      Client other = new Client(link.routePorts().get(0));
      assertThat(other.send("GET", "/stock", "").statusCode()).isEqualTo(200);
      assertThat(other.get("/runs").path("begun").asInt()).isEqualTo(served + 1);
    }
  }

  @Test
  void cutDirectionLosesItsBytesOnly() throws Exception {
    service.start();
    try (Link link = link("127.0.0.1:" + service.port());
        Socket socket = new Socket("127.0.0.1", link.routePorts().get(0))) {
      Client control = new Client(link.controlPort());
      control.send("POST", "/faults", "{\"cutBackward\":true}");
      byte[] call = "GET /stock HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8);
      socket.getOutputStream().write(call);
      while (control.get("/link").path("lost").asLong() == 0) {
        Thread.onSpinWait();
      }
      control.send("POST", "/faults", "{}");
      socket.getOutputStream().write(call);
      StringBuilder received = new StringBuilder();
      while (received.indexOf("\"number\":2") < 0) {
        received.append((char) socket.getInputStream().read());
      }
      assertThat(received.toString()).doesNotContain("\"number\":1");
    }
  }

  @Test
  void relayedCallsArriveUnlessTheLinkRefuses() throws IOException {
    service.start();
    try (Link link = link("127.0.0.1:" + service.port())) {
      String body = "x".repeat(200_000);
      Client client = new Client(link.routePorts().get(0));
      assertThat(client.send("POST", "/orders", body).body()).contains(body);
      Client control = new Client(link.controlPort());
      assertThat(control.get("/link").path("bytes").asLong()).isGreaterThan(400_000);
      control.send("POST", "/faults", "{\"dropOpen\":true,\"refuse\":true}");
      assertThatThrownBy(() -> client.send("GET", "/stock", "")).isInstanceOf(IOException.class);
      assertThat(control.send("POST", "/faults", "{\"cut\":1}").statusCode()).isEqualTo(400);
    }
  }
}
