package org.almondslip.standins.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the protocol of the model engine, on which all checks of answers rest. */
final class ModelEngineTest {

  private static final String PATH = "/v1/chat/completions";

  private static final String BODY =
      "{\"model\":\"m\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"content\":\"hi\"}]}";

  /** Longest wait for the engine after a crash; far above what it needs. */
  private static final long UP_LIMIT_MILLIS = 30_000;

  private final Vertx vertx = Vertx.vertx();

  private final TargetServer.BoundStandin engine = start(true);

  private final Client client = new Client(engine.port());

  @AfterEach
  void close() {
    engine.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private TargetServer.BoundStandin start(boolean fencingChecked) {
    EngineSettings settings = new EngineSettings(2, 2, 16, 8, 1, 1, fencingChecked);
    ModelEngine target = new ModelEngine(settings, vertx, Clock.Standard.SYSTEM);
    var standin = new TargetServer("engine", "127.0.0.1:0", target).toStandin(vertx);
    standin.start();
    return standin;
  }

  @Test
  void streamContainsEachTokenOnceAndEnds() throws IOException {
    List<String> events = Client.events(client.send("POST", PATH, BODY).body());
    Completion expected = Completion.of(ChatRequest.parse(BODY).orElseThrow());
    assertThat(events).hasSize(expected.length() + 2);
    for (int i = 0; i < expected.length(); i++) {
      assertThat(events.get(i)).startsWith("id: " + (i + 1) + "\n").contains(expected.token(i));
    }
    assertThat(events.get(events.size() - 1)).endsWith("data: [DONE]");
  }

  @Test
  void resumedStreamContinuesAfterTheLastEvent() throws IOException {
    List<String> all = Client.events(client.send("POST", PATH, BODY).body());
    for (int last : List.of(1, 3, all.size() - 2, all.size() - 1)) {
      String resumed = client.send("POST", PATH, BODY, "Last-Event-ID", "" + last).body();
      assertThat(Client.events(resumed)).isEqualTo(all.subList(last, all.size()));
    }
  }

  @Test
  void wholeAnswerEqualsTheStreamedTokens() throws IOException {
    String whole = BODY.replace("true", "false");
    Completion expected = Completion.of(ChatRequest.parse(whole).orElseThrow());
    assertThat(client.send("POST", PATH, whole).body()).contains(expected.text(0));
  }

  @Test
  void usageIsChargedToTheOrganisation() throws IOException {
    client.send("POST", PATH, BODY, "X-Organisation", "acme");
    assertThat(client.get("/usage").path("slotMillis").path("acme").asLong()).isPositive();
    assertThat(client.get("/usage").path("running").asInt()).isZero();
  }

  @Test
  void oldFencingTokenIsRefusedOnlyWhenItIsChecked() throws IOException {
    TargetServer.BoundStandin careless = start(false);
    Client other = new Client(careless.port());
    for (Client each : List.of(client, other)) {
      assertThat(each.send("POST", "/control/load", "{\"fencingToken\":7}").statusCode())
          .isEqualTo(200);
    }
    String old = "{\"fencingToken\":6}";
    assertThat(client.send("POST", "/control/load", old).statusCode()).isEqualTo(409);
    assertThat(other.send("POST", "/control/load", old).statusCode()).isEqualTo(200);
    careless.close();
  }

  @Test
  void markedBodyCrashesTheEngineAndItComesBack() throws IOException {
    client.send("POST", "/faults", "{\"crashMarker\":\"boom\",\"downMillis\":1}");
    assertThatThrownBy(() -> client.send("POST", PATH, BODY.replace("hi", "boom")))
        .isInstanceOf(IOException.class);
    assertThat(untilUp()).isEqualTo(200);
  }

  @Test
  void streamIsResetAfterTheGivenEventsOnce() throws IOException {
    client.send("POST", "/faults", "{\"resetAfterEvents\":2}");
    assertThatThrownBy(() -> client.send("POST", PATH, BODY)).isInstanceOf(IOException.class);
    assertThat(client.send("POST", PATH, BODY).body()).contains("[DONE]");
  }

  @Test
  void openConnectionGoesSilentWhileNewOnesWork() throws IOException {
    Client old = new Client(engine.port());
    String slow = BODY.replace("20", "5000");
    final CompletableFuture<Integer> pending =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return old.send("POST", PATH, slow).statusCode();
              } catch (IOException e) {
                return -1;
              }
            });
    while (client.get("/usage").path("running").asInt() == 0) {
      Thread.onSpinWait();
    }
    client.send("POST", "/faults", "{\"silenceOpen\":true}");
    assertThat(new Client(engine.port()).send("POST", PATH, BODY).statusCode()).isEqualTo(200);
    assertThat(pending).isNotDone();
  }

  private int untilUp() throws IOException {
    long deadline = Clock.Standard.SYSTEM.millis() + UP_LIMIT_MILLIS;
    while (true) {
      try {
        return client.send("POST", PATH, BODY).statusCode();
      } catch (IOException e) {
        if (Clock.Standard.SYSTEM.millis() > deadline) {
          throw e;
        }
      }
    }
  }
}
