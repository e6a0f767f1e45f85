package org.almondslip.bench.fault;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.Arrays;
import java.util.List;
import org.almondslip.bench.load.LoadGenerator;
import org.almondslip.bench.load.PlannedRequest;
import org.almondslip.bench.load.RequestKind;
import org.almondslip.bench.load.Tally;
import org.almondslip.bench.measure.RunCheck;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against cases that pass although an answer was lost, wrong, refused or run twice. */
final class FaultReportTest {

  private static final String HOST = "127.0.0.1";

  private static final RunCheck NO_FINDING = new RunCheck(0, 0, 0);

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Refuses orders, breaks the connection of tagging, and answers stock checks. */
  private static void answer(HttpServerRequest request) {
    if (request.path().equals("/orders")) {
      String problem = "{\"code\":\"no-target\",\"ran\":\"no\"}";
      request.response().setStatusCode(503).end(problem);
    } else if (request.path().equals("/stock")) {
      request.response().end("{\"path\":\"" + request.uri() + "\",\"body\":\"\"}");
    } else {
      request.connection().close();
    }
  }

  private Tally tally(RequestKind... kinds) {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(FaultReportTest::answer)
            .listen(0, HOST)
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    Tally tally = new Tally();
    List<PlannedRequest> requests =
        Arrays.stream(kinds)
            .map(kind -> new PlannedRequest(kind.ordinal(), 0, "acme", kind, "pool"))
            .toList();
    new LoadGenerator(
            vertx,
            vertx.getOrCreateContext(),
            planned ->
                new RequestOptions()
                    .setMethod(planned.kind().method())
                    .setHost(HOST)
                    .setPort(server.actualPort())
                    .setURI(planned.kind().path(planned.number())),
            tally)
        .run(requests, 60_000)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    return tally;
  }

  private List<String> violations(FaultCase kind, Tally during, Tally after, RunCheck runs) {
    return new FaultReport(kind, HOST, during, after, runs).violations();
  }

  @Test
  void completedLoadsHaveNoViolation() {
    Tally good = tally(RequestKind.STOCK_CHECK);
    assertThat(violations(FaultCase.TERM_ROUTER, good, good, NO_FINDING)).isEmpty();
  }

  @Test
  void brokenConnectionIsAllowedOnlyAtKilledRouter() {
    Tally good = tally(RequestKind.STOCK_CHECK);
    Tally broken = tally(RequestKind.STOCK_CHECK, RequestKind.TAGGING);
    FaultReport killed = new FaultReport(FaultCase.KILL_ROUTER, HOST, broken, good, NO_FINDING);
    assertThat(killed.violations()).isEmpty();
    assertThat(killed.toJson().path("broken").asInt()).isEqualTo(1);
    assertThat(violations(FaultCase.TERM_ROUTER, broken, good, NO_FINDING)).hasSize(1);
    FaultReport other =
        new FaultReport(FaultCase.KILL_ROUTER, "127.0.0.9", broken, good, NO_FINDING);
    assertThat(other.violations()).hasSize(1);
  }

  @Test
  void refusalMustBeAllowedAndEndWithTheFault() {
    Tally good = tally(RequestKind.STOCK_CHECK);
    Tally refused = tally(RequestKind.STOCK_CHECK, RequestKind.ORDER);
    assertThat(violations(FaultCase.CUT_REGIONS, refused, good, NO_FINDING)).isEmpty();
    assertThat(violations(FaultCase.PAUSE_AGENT, refused, good, NO_FINDING)).hasSize(1);
    assertThat(violations(FaultCase.CUT_REGIONS, good, refused, NO_FINDING)).hasSize(1);
    assertThat(violations(FaultCase.STORE_DOWN, good, good, NO_FINDING)).hasSize(1);
  }

  @Test
  void everyFindingOfTheRunCheckIsViolation() {
    Tally good = tally(RequestKind.STOCK_CHECK);
    RunCheck runs = new RunCheck(1, 2, 3);
    assertThat(violations(FaultCase.KILL_AGENT, good, good, runs)).hasSize(3);
  }
}
