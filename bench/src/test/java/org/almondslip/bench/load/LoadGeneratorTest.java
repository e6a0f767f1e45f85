package org.almondslip.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards the counts: every request ends in exactly one of them. */
final class LoadGeneratorTest {

  private static PlannedRequest request(int number, RequestKind kind) {
    return new PlannedRequest(number, 0, "acme", kind, "pool");
  }

  /** Refuses orders, breaks the connection of tagging, and answers stock checks. */
  private static void answer(HttpServerRequest request) {
    if (request.path().equals("/orders")) {
      String problem = "{\"code\":\"draining\",\"ran\":\"no\"}";
      request.response().setStatusCode(503).end(problem);
    } else if (request.path().equals("/stock")) {
      request.response().end("{\"path\":\"" + request.uri() + "\",\"body\":\"\"}");
    } else {
      request.connection().close();
    }
  }

  @Test
  void completedRefusedAndLostRequestsAreCountedOnce() {
    Vertx vertx = Vertx.vertx();
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(LoadGeneratorTest::answer)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    Entry entry =
        planned ->
            new RequestOptions()
                .setMethod(planned.kind().method())
                .setHost("127.0.0.1")
                .setPort(server.actualPort())
                .setURI(planned.kind().path(planned.number()));
    Tally tally = new Tally();
    new LoadGenerator(vertx, vertx.getOrCreateContext(), entry, tally)
        .run(
            List.of(
                request(1, RequestKind.ORDER),
                request(2, RequestKind.TAGGING),
                request(3, RequestKind.STOCK_CHECK)),
            60_000)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    assertThat(tally.offered()).isEqualTo(3);
    assertThat(tally.completed()).isEqualTo(1);
    assertThat(tally.refused()).containsOnlyKeys("draining");
    assertThat(tally.lost()).isEqualTo(1);
    assertThat(tally.notRunOrders()).containsExactly(request(1, RequestKind.ORDER).body());
    assertThat(tally.outstanding()).isZero();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Guards against callers that stay with a router that takes no work. */
  @Test
  void requestThatCertainlyDidNotRunIsSentToOtherAddressOnce() {
    Vertx vertx = Vertx.vertx();
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(LoadGeneratorTest::answer)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    Entry entry =
        new Entry() {
          @Override
          public RequestOptions toOptions(PlannedRequest planned) {
            // Orders are refused as draining; nobody listens at the address of stock checks.
            boolean order = planned.kind().isOrder();
            return new RequestOptions()
                .setMethod(planned.kind().method())
                .setHost("127.0.0.1")
                .setPort(order ? server.actualPort() : 1)
                .setURI(planned.kind().path(planned.number()));
          }

          @Override
          public Optional<RequestOptions> toOther(PlannedRequest planned) {
            return Optional.of(toOptions(planned).setPort(server.actualPort()));
          }
        };
    Tally tally = new Tally();
    new LoadGenerator(vertx, vertx.getOrCreateContext(), entry, tally)
        .run(List.of(request(1, RequestKind.ORDER), request(2, RequestKind.STOCK_CHECK)), 60_000)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    assertThat(tally.sentAgain()).isEqualTo(2);
    assertThat(tally.completed()).isEqualTo(1);
    assertThat(tally.refused()).containsEntry("draining", 1);
    assertThat(tally.lost()).isZero();
    assertThat(tally.outstanding()).isZero();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
