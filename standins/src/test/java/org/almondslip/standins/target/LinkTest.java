package org.almondslip.standins.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
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

  @Test
  void relayedCallsArriveUnlessTheLinkRefuses() throws IOException {
    service.start();
    String connect = "127.0.0.1:" + service.port();
    LinkSettings settings =
        new LinkSettings(
            "127.0.0.1:0", 400, List.of(new LinkSettings.Route("127.0.0.1:0", connect)));
    try (Link link = new Link("link", settings, vertx)) {
      link.start();
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
