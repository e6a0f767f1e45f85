package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.almondslip.membership.Member;
import org.almondslip.platform.HttpTableStore;
import org.almondslip.platform.PlatformAddresses;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.resource.Closer;
import org.almondslip.routing.RoutingSettings;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.platform.InstanceListStandin;
import org.almondslip.standins.platform.TableServiceStandin;
import org.almondslip.standins.platform.Tables;
import org.almondslip.time.Clock;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Cases of {@link PlatformFleet} in a router with stand-ins for the platform. */
class PlatformFleetTest {

  /** Shared secret and key of the operators. */
  private static final String SECRET = "0123456789abcdef";

  /** Ticket that creates everything a request needs. */
  private static final String TICKET =
      "number: 1\nauthor: kim\nobjects:\n"
          + "  - {kind: organisation, name: acme, reach: [orders]}\n"
          + "  - {kind: target, name: s1, pool: orders, type: service, slots: 2}\n"
          + "  - {kind: key, name: k1, organisation: acme, revoked: false, sha256: "
          + DigestUtils.sha256Hex("acme-key")
          + "}\n";

  /** Open resources. */
  private final Closer closer = new Closer();

  /** Event loop of the stand-ins. */
  private final Vertx vertx = Vertx.vertx();

  /** Client of callers and operators. */
  private final HttpClient client = HttpClient.newHttpClient();

  /** Tables of the table service. */
  private final Tables tables = new Tables();

  /** Table service. */
  private final HttpStandin tableService =
      new HttpStandin("t", "127.0.0.1:0", vertx, new TableServiceStandin(tables));

  /** Instance list. */
  private final HttpStandin instances =
      new HttpStandin("i", "127.0.0.1:0", vertx, new InstanceListStandin(Clock.Standard.SYSTEM, 0));

  /** Stops everything. */
  @AfterEach
  void close() {
    closer.close();
  }

  /** Guards against a break between the platform, the operators' API and the callers' API. */
  @Test
  void servesAfterTicket() throws Exception {
    startPlatform();
    TcpAgent agent = closer.register(new TcpAgent("s1", SECRET));
    register(agent.member());
    Router router = startRouter();
    // A valid key cannot be told from a wrong one yet, and a 401 would stop callers for good.
    assertThat(call(router).statusCode()).as("without a catalog").isEqualTo(503);
    assertThat(call(router).body()).contains("\"code\":\"not-ready\"", "\"ran\":\"no\"");
    HttpRequest ticket =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + router.adminPort() + "/admin/v1/tickets"))
            .header("Authorization", "Bearer " + SECRET)
            .POST(BodyPublishers.ofString(TICKET))
            .build();
    assertThat(client.send(ticket, BodyHandlers.ofString()).statusCode()).isEqualTo(200);
    RouterFixture.await(() -> call(router).statusCode() == 200);
    assertThat(call(router).body()).isEqualTo("hello");
    router.drain();
  }

  /** Guards against marks that are lost with the processes that know them. */
  @Test
  void writesAndDeletesCrashMarks() {
    startPlatform();
    HttpTableStore store =
        closer.register(new HttpTableStore(vertx, tableService.address(), 5_000, Runnable::run));
    SuspectTable suspects = new SuspectTable(store);
    SuspectNotice mark =
        SuspectNotice.newBuilder().setFingerprint(0xabc).setCrashId("s1@5").build();
    suspects.record(mark);
    suspects.record(mark);
    RouterFixture.await(() -> tables.scan(SuspectTable.TABLE, "").size() == 1);
    assertThat(tables.read(SuspectTable.TABLE, "0000000000000abc/s1@5")).isPresent();
    List<SuspectNotice> read = new CopyOnWriteArrayList<>();
    suspects.read(read::addAll);
    RouterFixture.await(() -> read.contains(mark));
    suspects.record(SuspectNotice.newBuilder().setFingerprint(0xabc).setCleared(true).build());
    RouterFixture.await(() -> tables.scan(SuspectTable.TABLE, "").isEmpty());
  }

  /** Starts the stand-ins. */
  private void startPlatform() {
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    closer.register(tableService).start();
    closer.register(instances).start();
  }

  /**
   * Starts a router.
   *
   * @return the router
   */
  private Router startRouter() {
    RouterSettings settings =
        new RouterSettings(
            "r1",
            "north",
            "north-1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            SECRET,
            SECRET,
            new PlatformAddresses(tableService.address(), "127.0.0.1:1", instances.address()),
            RoutingSettings.DEFAULT,
            CallerLimits.DEFAULT,
            5_000);
    Clock clock = Clock.Standard.SYSTEM;
    Router router =
        new Router(
            settings,
            clock,
            (self, loops, decision) ->
                new PlatformFleet(settings.platform(), clock, self, loops, decision));
    closer.register(router::close);
    router.start();
    return router;
  }

  /**
   * Enters an instance into the list.
   *
   * @param member the instance
   * @throws Exception if the list does not answer
   */
  private void register(Member member) throws Exception {
    JsonObject entry =
        new JsonObject()
            .put("role", "agent")
            .put("region", member.region())
            .put("data_centre", member.dataCentre())
            .put("address", member.innerAddress())
            .put("target", member.target())
            .put("leaving", false);
    URI uri = URI.create("http://" + instances.address() + "/instances/" + member.instanceId());
    HttpRequest request =
        HttpRequest.newBuilder(uri).PUT(BodyPublishers.ofString(entry.encode())).build();
    assertThat(client.send(request, BodyHandlers.ofString()).statusCode()).isEqualTo(200);
  }

  /**
   * Sends a request of acme.
   *
   * @param router the router
   * @return the answer
   */
  private HttpResponse<String> call(Router router) {
    URI uri = URI.create("http://127.0.0.1:" + router.port() + "/services/orders/x");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Authorization", "Bearer acme-key")
            .PUT(BodyPublishers.ofString("hello"))
            .build();
    try {
      return client.send(request, BodyHandlers.ofString());
    } catch (java.io.IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
