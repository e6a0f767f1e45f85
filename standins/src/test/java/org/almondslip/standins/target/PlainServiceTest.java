package org.almondslip.standins.target;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

/** Guards the record of runs, by which tests prove that an order runs at most once. */
final class PlainServiceTest {

  @Test
  void eachCallIsRecordedOnceInOrder() throws IOException {
    Vertx vertx = Vertx.vertx();
    PlainService target = new PlainService(new ServiceSettings(1, 2), vertx, Clock.Standard.SYSTEM);
    var standin = new TargetServer("desk", "127.0.0.1:0", target).toStandin(vertx);
    standin.start();
    Client client = new Client(standin.port());
    client.send("POST", "/orders", "one", "Idempotency-Key", "k1", "X-Organisation", "acme");
    client.send("GET", "/stock?item=2", "");
    assertThat(client.get("/load").path("running").asInt()).isZero();
    JsonNode runs = client.get("/runs");
    assertThat(runs.path("begun").asInt()).isEqualTo(2);
    assertThat(runs.at("/runs/0/idempotencyKey").asText()).isEqualTo("k1");
    assertThat(runs.at("/runs/0/body").asText()).isEqualTo("one");
    assertThat(runs.at("/runs/1/number").asInt()).isEqualTo(2);
    assertThat(runs.at("/runs/1/path").asText()).isEqualTo("/stock?item=2");
    assertThat(client.get("/usage").path("slotMillis").has("acme")).isTrue();
    standin.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
