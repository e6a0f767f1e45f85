package org.almondslip.agent;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicInteger;
import org.almondslip.agent.AgentSettings.SchedulingSettings;
import org.almondslip.agent.AgentSettings.TargetSettings;
import org.almondslip.catalog.FlowId;
import org.almondslip.execution.AgentLimits;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Offers;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.protocol.wire.Role;
import org.almondslip.resource.Closer;

/** Starts an agent with an HTTP target and simulated routers. */
final class AgentFixture implements AutoCloseable {

  /** Addresses at which nothing listens. */
  static final PlatformAddresses NO_PLATFORM =
      new PlatformAddresses("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1");

  /** Size of the large answer, in bytes; exceeds the capacity of a claim record. */
  static final int LARGE_BYTES = 300_000;

  private static final String SECRET = "0123456789abcdef";

  private final Closer closer = new Closer();

  private final Vertx vertx = Vertx.vertx();

  private final AtomicInteger runs = new AtomicInteger();

  private HttpServer server;

  Vertx vertx() {
    return vertx;
  }

  Closer closer() {
    return closer;
  }

  int runs() {
    return runs.get();
  }

  void stopTarget() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }

  TestRouter newRouter() {
    return newPeer("r1", Role.ROUTER);
  }

  TestRouter newPeer(String instance, Role role) {
    return closer.register(new TestRouter(SECRET, instance, role));
  }

  @Override
  public void close() {
    closer.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
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
      case "/large" -> request.response().setStatusCode(201).end("x".repeat(LARGE_BYTES));
      default -> request.response().end(body);
    }
  }

  Agent startAgent(PlatformAddresses platform) {
    return startAgent(platform, "127.0.0.1:" + startTarget());
  }

  Agent startAgent(PlatformAddresses platform, String target) {
    AgentSettings settings =
        new AgentSettings(
            "i1",
            "r",
            "d",
            "127.0.0.1:0",
            "127.0.0.1:0",
            SECRET,
            new TargetSettings("t1", target, 1_000),
            platform,
            SchedulingSettings.DEFAULT,
            AgentLimits.DEFAULT,
            10_000);
    Agent agent = new Agent(settings);
    closer.register(agent::close);
    agent.start();
    return agent;
  }

  TestRouter connect(Agent agent) throws InterruptedException {
    TestRouter router = newRouter();
    router.dial(agent.innerAddress());
    router.await(
        frame ->
            frame.getHeartbeat().getAgent().getHealthy()
                && frame.getHeartbeat().getAgent().getSlots() > 0);
    return router;
  }

  static Frame offer(int waiting) {
    FlowOffer.Builder offer =
        FlowOffer.newBuilder().setFlowId(FlowId.of("acme", "pool")).setWaiting(waiting);
    return Frame.newBuilder().setOffers(Offers.newBuilder().addOffers(offer)).build();
  }

  static Frame dispatch(Grant grant, long sequence, String path) {
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

  /** Creates a request with an idempotency key. */
  static Frame order(Grant grant, long sequence, String path, String key) {
    Dispatch dispatch = dispatch(grant, sequence, path).getDispatch();
    return Frame.newBuilder()
        .setDispatch(
            dispatch.toBuilder().setOrganisation("acme").setPool("pool").setIdempotencyKey(key))
        .build();
  }
}
