package org.almondslip.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;

/** HTTP client of the table service. */
public final class HttpTableStore implements TableStore, AutoCloseable {

  private static final int STATUS_NOT_FOUND = 404;

  private final PlatformHttpClient client;

  /**
   * Creates a client.
   *
   * @param vertx the event loops that run the calls
   * @param address the address of the service as {@code ip:port}
   * @param timeoutMillis the timeout of a call, in milliseconds
   * @param executor the executor of the callbacks
   */
  public HttpTableStore(Vertx vertx, String address, long timeoutMillis, Executor executor) {
    this.client = new PlatformHttpClient(vertx, address, timeoutMillis, executor);
  }

  @Override
  public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {
    client.call(
        HttpMethod.GET,
        "/tables/" + encode(table) + "/" + encode(key),
        Buffer.buffer(),
        HttpTableStore::toOptionalRow,
        callback);
  }

  @Override
  public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {
    client.call(
        HttpMethod.GET,
        "/tables/" + encode(table) + "?prefix=" + encode(prefix),
        Buffer.buffer(),
        result -> result.toStoreResult(body -> toRows(body.toJsonObject().getJsonArray("rows"))),
        callback);
  }

  @Override
  public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {
    client.call(
        HttpMethod.POST,
        "/tables/transact",
        toJson(transaction).toBuffer(),
        result -> result.toStoreResult(HttpTableStore::toOutcome),
        callback);
  }

  @Override
  public void close() {
    client.close();
  }

  /** Converts the result of a read to the row, which is empty for status 404. */
  private static StoreResult<Optional<Row>> toOptionalRow(HttpCallResult result) {
    if (result instanceof HttpCallResult.Response response
        && response.status() == STATUS_NOT_FOUND) {
      return new StoreResult.Success<>(Optional.empty());
    }
    return result.toStoreResult(body -> Optional.of(toRow(body.toJsonObject())));
  }

  private static Row toRow(JsonObject json) {
    return new Row(json.getString("key"), json.getLong("version"), json.getString("value"));
  }

  private static List<Row> toRows(JsonArray json) {
    List<Row> rows = new ArrayList<>();
    for (int i = 0; i < json.size(); i++) {
      rows.add(toRow(json.getJsonObject(i)));
    }
    return rows;
  }

  private static Outcome toOutcome(Buffer body) {
    JsonObject json = body.toJsonObject();
    return new Outcome(json.getBoolean("applied"), toRows(json.getJsonArray("conflicts")));
  }

  private static JsonObject toJson(Transaction transaction) {
    JsonArray conditions = new JsonArray();
    for (Condition condition : transaction.conditions()) {
      conditions.add(
          new JsonObject()
              .put("table", condition.table())
              .put("key", condition.key())
              .put("version", condition.version()));
    }
    JsonArray writes = new JsonArray();
    for (Write write : transaction.writes()) {
      JsonObject json = new JsonObject().put("table", write.table()).put("key", write.key());
      write.value().ifPresent(value -> json.put("value", value));
      writes.add(json);
    }
    return new JsonObject().put("conditions", conditions).put("writes", writes);
  }

  /** Encodes a path segment or a query parameter. */
  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
