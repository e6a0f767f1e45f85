package org.almondslip.router.admin;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.platform.HttpTableStore;
import org.almondslip.resource.Closer;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.platform.TableServiceStandin;
import org.almondslip.standins.platform.Tables;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the operators' interface over HTTP with a stand-in for the table service. */
class AdminServerTest {

  /** Key of the operators. */
  private static final String KEY = "secret";

  /** Ticket that creates an organisation. */
  private static final String TICKET =
      "number: %d\nauthor: kim\nobjects:\n  - {kind: organisation, name: acme, reach: [%s]}\n";

  /** Resources of a test. */
  private final Closer closer = new Closer();

  /** Client of the operators. */
  private final HttpClient client = HttpClient.newHttpClient();

  /** Address of the interface. */
  private String address;

  /** Address of the table service. */
  private String tables;

  @BeforeEach
  void start() {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    ScheduledExecutorService decision = new ScheduledThreadPoolExecutor(1);
    closer.register(decision::shutdownNow);
    HttpStandin service =
        closer.register(
            new HttpStandin("t", "127.0.0.1:0", vertx, new TableServiceStandin(new Tables())));
    service.start();
    tables = service.address();
    HttpTableStore store = closer.register(new HttpTableStore(vertx, tables, 5_000, decision));
    CatalogSync sync =
        new CatalogSync(
            store,
            Clock.Standard.SYSTEM,
            RandomSource.SPLIT_MIX_64.create(1L),
            () -> true,
            catalog -> {});
    TicketApplier applier =
        new TicketApplier(store, sync, Clock.Standard.SYSTEM, RandomSource.SPLIT_MIX_64.create(2L));
    decision.scheduleAtFixedRate(applier::onTick, 0, 10, TimeUnit.MILLISECONDS);
    AdminService operations =
        new AdminService(
            decision, applier, sync, store, () -> new JsonObject().put("instance", "r1"));
    AdminServer server =
        closer.register(new AdminServer(vertx, OperatorKey.ofSecret(KEY), operations));
    address = "127.0.0.1:" + server.listen("127.0.0.1:0");
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against tickets from anyone who can reach the address. */
  @Test
  void wrongKeyIsRefused() {
    HttpRequest request =
        HttpRequest.newBuilder(uri("tickets")).POST(BodyPublishers.ofString("")).build();
    assertThat(send(request).statusCode()).isEqualTo(401);
    assertThat(post("tickets", TICKET.formatted(1, ""), "wrong").statusCode()).isEqualTo(401);
    assertThat(get("objects/organisation").getJsonArray("objects")).isEmpty();
  }

  /** Guards against an applied ticket that is not visible at once where it was applied. */
  @Test
  void appliedTicketIsShownAndAudited() {
    assertThat(apply(3, "")).isEqualTo(json("{\"revision\":1,\"repeated\":false}"));
    assertThat(apply(3, "")).isEqualTo(json("{\"revision\":1,\"repeated\":true}"));
    assertThat(get("objects/organisation/acme"))
        .isEqualTo(
            json(
                "{\"kind\":\"organisation\",\"name\":\"acme\",\"number\":3,\"revision\":1,"
                    + "\"object\":{\"name\":\"acme\",\"reach\":[]}}"));
    JsonObject entry = get("audit?name=acme").getJsonArray("entries").getJsonObject(0);
    assertThat(entry.getString("author")).isEqualTo("kim");
    assertThat(entry.containsKey("before")).isFalse();
    assertThat(entry.getJsonObject("after").getString("name")).isEqualTo("acme");
    assertThat(get("audit?before=1").getJsonArray("entries")).isEmpty();
  }

  /** Guards against an operator who waits in vain after the answer to the write was lost. */
  @Test
  void ticketWithLostAnswerIsSettled() {
    String fault = "{\"mode\":\"lose\",\"count\":2,\"path\":\"/tables/transact\"}";
    URI faults = URI.create("http://" + tables + "/faults");
    HttpRequest request =
        HttpRequest.newBuilder(faults).POST(BodyPublishers.ofString(fault)).build();
    assertThat(send(request).statusCode()).isEqualTo(200);
    assertThat(apply(3, "")).isEqualTo(json("{\"revision\":1,\"repeated\":false}"));
  }

  /** Guards against a refusal that does not tell what stands. */
  @Test
  void lowerNumberIsConflict() {
    apply(3, "");
    HttpResponse<String> response = post("tickets", TICKET.formatted(2, ""), KEY);
    assertThat(response.statusCode()).isEqualTo(409);
    JsonObject problem = json(response.body());
    assertThat(problem.getString("code")).isEqualTo("ticket-conflict");
    assertThat(problem.getJsonArray("standing").getJsonObject(0).getLong("number")).isEqualTo(3);
  }

  /** Guards against findings without their place, and against a check that changes something. */
  @Test
  void findingsCarryTheirPlace() {
    for (String path : new String[] {"tickets?file=a.yaml", "tickets/validate?file=a.yaml"}) {
      HttpResponse<String> response = post(path, TICKET.formatted(1, "none"), KEY);
      assertThat(response.statusCode()).isEqualTo(422);
      assertThat(json(response.body()).getJsonArray("findings").getJsonObject(0))
          .isEqualTo(
              json(
                  "{\"file\":\"a.yaml\",\"line\":4,\"field\":\"objects[0].reach\","
                      + "\"message\":\"there is no target or pool 'none'\"}"));
    }
    String valid = TICKET.formatted(1, "");
    assertThat(post("tickets/validate", valid, KEY).statusCode()).isEqualTo(200);
    assertThat(get("objects/organisation").getJsonArray("objects")).isEmpty();
  }

  /** Guards against wrong paths, methods and parameters that end in an internal error. */
  @Test
  void wrongRequestsAreRefused() {
    assertThat(post("status", "", KEY).statusCode()).isEqualTo(404);
    assertThat(get("objects/organisation/none").getString("code")).isEqualTo("not-found");
    assertThat(get("audit?limit=many").getString("code")).isEqualTo("bad-request");
    assertThat(post("tickets", "a".repeat(5 << 20), KEY).statusCode()).isEqualTo(413);
  }

  /** Guards against a status without the state of the catalog. */
  @Test
  void statusNamesTheRevision() {
    apply(3, "");
    assertThat(get("status"))
        .isEqualTo(json("{\"instance\":\"r1\",\"catalog_revision\":1,\"catalog_ready\":true}"));
  }

  /**
   * Applies a ticket.
   *
   * @param number the number of the ticket
   * @param reach the reach of the organisation
   * @return the answer
   */
  private JsonObject apply(int number, String reach) {
    return json(post("tickets", TICKET.formatted(number, reach), KEY).body());
  }

  /**
   * Sends a request with a body.
   *
   * @param path the path below the root
   * @param body the body
   * @param key the operator key
   * @return the response
   */
  private HttpResponse<String> post(String path, String body, String key) {
    return send(
        HttpRequest.newBuilder(uri(path))
            .header("Authorization", "Bearer " + key)
            .POST(BodyPublishers.ofString(body))
            .build());
  }

  /**
   * Reads a document.
   *
   * @param path the path below the root
   * @return the document
   */
  private JsonObject get(String path) {
    HttpRequest request =
        HttpRequest.newBuilder(uri(path)).header("Authorization", "Bearer " + KEY).build();
    return json(send(request).body());
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @return the response
   */
  private HttpResponse<String> send(HttpRequest request) {
    return client.sendAsync(request, BodyHandlers.ofString()).join();
  }

  /**
   * Builds an address.
   *
   * @param path the path below the root
   * @return the address
   */
  private URI uri(String path) {
    return URI.create("http://" + address + "/admin/v1/" + path);
  }

  /**
   * Reads JSON.
   *
   * @param text the text
   * @return the document
   */
  private static JsonObject json(String text) {
    return new JsonObject(text);
  }
}
