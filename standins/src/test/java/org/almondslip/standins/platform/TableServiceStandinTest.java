package org.almondslip.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.catalog.Kind;
import org.almondslip.catalog.Ticket;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.catalog.TicketResult;
import org.almondslip.catalog.TicketSource;
import org.almondslip.platform.HttpTableStore;
import org.almondslip.resource.Closer;
import org.almondslip.standins.HttpStandin;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore.Condition;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the table service over HTTP together with its client. */
class TableServiceStandinTest {

  /** Time limit of the client under test; short, since two tests run into it. */
  private static final long LIMIT_MILLIS = 400;

  /** Resources of a test. */
  private final Closer closer = new Closer();

  /** Thread of the callbacks. */
  private final DecisionThread thread = closer.register(new DecisionThread());

  /** Address of the service. */
  private String address;

  /** Client under test. */
  private HttpTableStore store;

  @BeforeEach
  void start() {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    HttpStandin standin =
        closer.register(
            new HttpStandin("tables", "127.0.0.1:0", vertx, new TableServiceStandin(new Tables())));
    standin.start();
    address = standin.address();
    store = closer.register(new HttpTableStore(vertx, address, LIMIT_MILLIS, thread.executor()));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against keys with separators that do not survive the encoding of paths. */
  @Test
  void rowIsReadBackUnderItsKey() {
    String key = "share/a b+c%/é";
    assertThat(insert(key)).isEqualTo(success(new Outcome(true, List.of())));
    assertThat(read(key)).isEqualTo(success(Optional.of(new Row(key, 1, "{}"))));
    assertThat(read("share/other")).isEqualTo(success(Optional.empty()));
    StoreResult<List<Row>> rows = thread.await(done -> store.scan("t", "share/a b+", done));
    assertThat(rows).isEqualTo(success(List.of(new Row(key, 1, "{}"))));
  }

  /** Guards against a second insert that overwrites the first. */
  @Test
  void conflictIsReportedWithTheStandingRow() {
    insert("k");
    assertThat(insert("k")).isEqualTo(success(new Outcome(false, List.of(new Row("k", 1, "{}")))));
  }

  /** Guards against a write that is reported as lost or applied although nothing was sent. */
  @Test
  void refusedConnectionIsNotApplied() {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    HttpTableStore unreachable =
        closer.register(new HttpTableStore(vertx, "127.0.0.1:1", LIMIT_MILLIS, thread.executor()));
    StoreResult<Outcome> result = thread.await(done -> unreachable.transact(insertOf("k"), done));
    assertThat(result).isInstanceOf(StoreResult.NotApplied.class);
  }

  /** Guards against a write that took effect but is reported as not applied. */
  @Test
  void lostAnswerIsUnknownAndTheWriteStands() {
    fault("{\"mode\":\"lose\",\"count\":1}");
    assertThat(insert("k")).isInstanceOf(StoreResult.Unknown.class);
    assertThat(read("k")).isEqualTo(success(Optional.of(new Row("k", 1, "{}"))));
  }

  /** Guards against 5xx answers to a write that are taken as a refusal. */
  @Test
  void serverErrorIsUnknown() {
    fault("{\"mode\":\"fail\",\"count\":1}");
    assertThat(insert("k")).isInstanceOf(StoreResult.Unknown.class);
  }

  /** Guards against a malformed call that is retried as if its outcome were unknown. */
  @Test
  void refusalIsNotApplied() {
    Transaction malformed =
        new Transaction(List.of(), List.of(new Write("t", null, Optional.empty())));
    StoreResult<Outcome> result = thread.await(done -> store.transact(malformed, done));
    assertThat(result).isInstanceOf(StoreResult.NotApplied.class);
  }

  /** Guards against a client that waits for good on connections that went silent. */
  @Test
  void silentConnectionIsReplaced() {
    insert("k");
    fault("{\"mode\":\"silent-open\"}");
    assertThat(read("k")).isInstanceOf(StoreResult.Unknown.class);
    assertThat(read("k")).isEqualTo(success(Optional.of(new Row("k", 1, "{}"))));
  }

  /** Guards against a time limit for each of several connections that went silent together. */
  @Test
  void allSilentConnectionsAreReplacedAtOnce() {
    insert("k");
    fault("{\"mode\":\"slow\",\"delay_ms\":100}");
    AtomicInteger answers = new AtomicInteger();
    for (int i = 0; i < 8; i++) {
      store.read("t", "k", result -> answers.incrementAndGet());
    }
    thread.awaitTrue(() -> answers.get() == 8);
    fault("{\"mode\":\"silent-open\"}");
    assertThat(read("k")).isInstanceOf(StoreResult.Unknown.class);
    for (int i = 0; i < 8; i++) {
      assertThat(read("k")).isEqualTo(success(Optional.of(new Row("k", 1, "{}"))));
    }
  }

  /** Guards against a ticket that is lost with the answer to its write. */
  @Test
  void ticketWithLostAnswerIsAppliedOnceAndSeenByAnotherProcess() {
    fault("{\"mode\":\"lose\",\"count\":1,\"path\":\"/tables/transact\"}");
    CatalogSync sync =
        new CatalogSync(
            store,
            Clock.Standard.SYSTEM,
            RandomSource.SPLIT_MIX_64.create(1L),
            () -> true,
            catalog -> {});
    TicketApplier applier =
        new TicketApplier(store, sync, Clock.Standard.SYSTEM, RandomSource.SPLIT_MIX_64.create(2L));
    Ticket ticket = new Ticket(7, "kim", "new", List.of(new Organisation("acme", List.of())));
    List<TicketResult> results = new java.util.ArrayList<>();
    thread.get(
        () -> {
          applier.apply(ticket, TicketSource.NoOp.INSTANCE, results::add);
          return true;
        });
    thread.awaitTrue(
        () -> {
          applier.onTick();
          return !results.isEmpty();
        });
    assertThat(results).containsExactly(new TicketResult.Applied(1, false));
    thread.awaitTrue(
        () -> {
          sync.onTick();
          return sync.catalog().revision() == 1;
        });
    assertThat(sync.catalog().object(Kind.ORGANISATION, "acme").orElseThrow().number())
        .isEqualTo(7);
  }

  /**
   * Reads a row.
   *
   * @param key the key
   * @return the result
   */
  private StoreResult<Optional<Row>> read(String key) {
    return thread.await(done -> store.read("t", key, done));
  }

  /**
   * Inserts a row.
   *
   * @param key the key
   * @return the result
   */
  private StoreResult<Outcome> insert(String key) {
    return thread.await(done -> store.transact(insertOf(key), done));
  }

  /**
   * Builds an insert.
   *
   * @param key the key
   * @return the transaction
   */
  private static Transaction insertOf(String key) {
    return new Transaction(
        List.of(new Condition("t", key, 0)), List.of(new Write("t", key, Optional.of("{}"))));
  }

  /**
   * Wraps a value.
   *
   * @param value the value
   * @param <T> its type
   * @return the result
   */
  private static <T> StoreResult<T> success(T value) {
    return new StoreResult.Success<>(value);
  }

  /**
   * Sets the faults of the service.
   *
   * @param json the faults
   */
  private void fault(String json) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/faults"))
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    int status =
        HttpClient.newHttpClient()
            .sendAsync(request, BodyHandlers.discarding())
            .join()
            .statusCode();
    assertThat(status).isEqualTo(200);
  }
}
