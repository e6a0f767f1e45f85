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

/** Client of the table service. */
public final class HttpTableStore implements TableStore, AutoCloseable {

  /** Status for a row that does not exist. */
  private static final int NOT_FOUND = 404;

  /** Sender of the calls. */
  private final HttpCaller caller;

  /**
   * Creates a client.
   *
   * @param vertx the event loop
   * @param address the address of the service as {@code ip:port}
   * @param limitMillis the time limit of a call in milliseconds
   * @param executor runs the callbacks
   */
  public HttpTableStore(Vertx vertx, String address, long limitMillis, Executor executor) {
    this.caller = new HttpCaller(vertx, address, limitMillis, executor);
  }

  @Override
  public void read(String table, String key, Consumer<StoreResult<Optional<Row>>> callback) {
    caller.call(
        HttpMethod.GET,
        "/tables/" + encode(table) + "/" + encode(key),
        Buffer.buffer(),
        HttpTableStore::toOptionalRow,
        callback);
  }

  @Override
  public void scan(String table, String prefix, Consumer<StoreResult<List<Row>>> callback) {
    caller.call(
        HttpMethod.GET,
        "/tables/" + encode(table) + "?prefix=" + encode(prefix),
        Buffer.buffer(),
        reply -> reply.toResult(body -> toRows(body.toJsonObject().getJsonArray("rows"))),
        callback);
  }

  @Override
  public void transact(Transaction transaction, Consumer<StoreResult<Outcome>> callback) {
    caller.call(
        HttpMethod.POST,
        "/tables/transact",
        toJson(transaction).toBuffer(),
        reply -> reply.toResult(HttpTableStore::toOutcome),
        callback);
  }

  @Override
  public void close() {
    caller.close();
  }

  /**
   * Converts the reply to a read.
   *
   * @param reply the reply
   * @return the row, or empty when there is none
   */
  private static StoreResult<Optional<Row>> toOptionalRow(HttpReply reply) {
    if (reply instanceof HttpReply.Answered answered && answered.status() == NOT_FOUND) {
      return new StoreResult.Success<>(Optional.empty());
    }
    return reply.toResult(body -> Optional.of(toRow(body.toJsonObject())));
  }

  /**
   * Reads a row.
   *
   * @param json the JSON form
   * @return the row
   */
  private static Row toRow(JsonObject json) {
    return new Row(json.getString("key"), json.getLong("version"), json.getString("value"));
  }

  /**
   * Reads rows.
   *
   * @param json the JSON form
   * @return the rows
   */
  private static List<Row> toRows(JsonArray json) {
    List<Row> rows = new ArrayList<>();
    for (int i = 0; i < json.size(); i++) {
      rows.add(toRow(json.getJsonObject(i)));
    }
    return rows;
  }

  /**
   * Reads the outcome of a transaction.
   *
   * @param body the body of the answer
   * @return the outcome
   */
  private static Outcome toOutcome(Buffer body) {
    JsonObject json = body.toJsonObject();
    return new Outcome(json.getBoolean("applied"), toRows(json.getJsonArray("conflicts")));
  }

  /**
   * Writes a transaction.
   *
   * @param transaction the transaction
   * @return the JSON form
   */
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

  /**
   * Encodes a part of a path or query.
   *
   * @param text the part
   * @return the encoded part
   */
  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
