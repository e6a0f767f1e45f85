package org.almondslip.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.almondslip.agent.AgentSettings.SchedulingSettings;
import org.almondslip.agent.AgentSettings.TargetSettings;
import org.almondslip.catalog.FlowId;
import org.almondslip.execution.AgentLimits;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Offers;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.resource.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards a whole agent, with real connections, against lost answers and false reports. */
class AgentTest {

  private static final String SECRET = "0123456789abcdef";

  private final Closer closer = new Closer();

  private final Vertx vertx = Vertx.vertx();

  private final AtomicInteger runs = new AtomicInteger();

  private HttpServer server;

  @AfterEach
  void close() {
    closer.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void streamsAnswerOfTarget() throws Exception {
    Agent agent = startAgent(startTarget());
    TestRouter router = connect(agent);
    router.send(offer(1));
    Grant grant = router.await(Frame::hasGrant).getGrant();
    router.send(dispatch(grant, 1, "/echo"));
    ByteString body = ByteString.EMPTY;
    Answer part = router.await(Frame::hasAnswer).getAnswer();
    assertThat(part.getHead().getStatus()).isEqualTo(200);
    while (!part.hasEnd()) {
      part = router.await(Frame::hasAnswer).getAnswer();
      body = body.concat(part.getData());
    }
    assertThat(body.toStringUtf8()).isEqualTo("hello");
    assertThat(part.getEnd().getComplete()).isTrue();
    assertThat(metrics(agent)).contains("almondslip_agent_requests_total{outcome=\"completed\"} 1");
  }

  @Test
  void reportsResetAsUnknownAndRefusedConnectionAsNotRun() throws Exception {
    Agent agent = startAgent(startTarget());
    TestRouter router = connect(agent);
    router.send(offer(2));
    Grant first = router.await(Frame::hasGrant).getGrant();
    final Grant second = router.await(Frame::hasGrant).getGrant();
    router.send(dispatch(first, 1, "/reset"));
    assertThat(end(router).getRan()).isEqualTo(Ran.UNKNOWN);
    server.close().toCompletionStage().toCompletableFuture().join();
    router.send(dispatch(second, 2, "/echo"));
    assertThat(end(router).getRan()).isEqualTo(Ran.NO);
    assertThat(runs.get()).isEqualTo(1);
  }

  @Test
  void finishesRunningRequestOnPlannedStop() throws Exception {
    Agent agent = startAgent(startTarget());
    TestRouter router = connect(agent);
    router.send(offer(1));
    router.send(dispatch(router.await(Frame::hasGrant).getGrant(), 1, "/slow"));
    router.await(Frame::hasAnswer);
    Thread stop = new Thread(agent::drain);
    stop.start();
    router.await(Frame::hasDrain);
    AnswerEnd end = end(router);
    assertThat(end.getComplete()).isTrue();
    router.ack(1, 100);
    stop.join(TimeUnit.SECONDS.toMillis(30));
    assertThat(stop.isAlive()).isFalse();
  }

  private AnswerEnd end(TestRouter router) throws InterruptedException {
    return router.await(frame -> frame.getAnswer().hasEnd()).getAnswer().getEnd();
  }

  private int startTarget() {
    server = vertx.createHttpServer().requestHandler(this::serve);
    return server
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  private void serve(HttpServerRequest request) {
    if (request.path().equals("/load")) {
      request.response().end("{\"running\":1}");
      return;
    }
    runs.incrementAndGet();
    request.body().onSuccess(body -> answer(request, body.toString()));
  }

  private void answer(HttpServerRequest request, String body) {
    switch (request.path()) {
      case "/reset" -> request.connection().close();
      case "/slow" -> {
        request.response().setChunked(true).write("first");
        vertx.setTimer(300, id -> request.response().end("last"));
      }
      default -> request.response().end(body);
    }
  }

  private Agent startAgent(int targetPort) {
    AgentSettings settings =
        new AgentSettings(
            "i1",
            "r",
            "d",
            "127.0.0.1:0",
            "127.0.0.1:0",
            SECRET,
            new TargetSettings("t1", "127.0.0.1:" + targetPort, 1_000),
            new PlatformAddresses("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"),
            SchedulingSettings.DEFAULT,
            AgentLimits.DEFAULT,
            10_000);
    Agent agent = new Agent(settings);
    closer.register(agent::close);
    agent.start();
    return agent;
  }

  private TestRouter connect(Agent agent) throws InterruptedException {
    TestRouter router = closer.register(new TestRouter(SECRET));
    router.dial(agent.innerAddress());
    router.await(
        frame ->
            frame.getHeartbeat().getAgent().getHealthy()
                && frame.getHeartbeat().getAgent().getSlots() > 0);
    return router;
  }

  private static Frame offer(int waiting) {
    FlowOffer.Builder offer =
        FlowOffer.newBuilder().setFlowId(FlowId.of("acme", "pool")).setWaiting(waiting);
    return Frame.newBuilder().setOffers(Offers.newBuilder().addOffers(offer)).build();
  }

  private static Frame dispatch(Grant grant, long sequence, String path) {
    return Frame.newBuilder()
        .setDispatch(
            Dispatch.newBuilder()
                .setGrantId(grant.getGrantId())
                .setRequestId(RequestId.newBuilder().setRouterIncarnation(1).setSequence(sequence))
                .setMethod("POST")
                .setPath(path)
                .setBody(ByteString.copyFromUtf8("hello"))
                .setDeadlineMs(30_000)
                .setFingerprint(sequence))
        .build();
  }

  private static String metrics(Agent agent) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + agent.operationsPort() + "/metrics");
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
  }
}
