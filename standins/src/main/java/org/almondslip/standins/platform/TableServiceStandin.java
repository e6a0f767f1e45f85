package org.almondslip.standins.platform;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.almondslip.settings.Section;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.HttpStandin.Answer;
import org.almondslip.standins.HttpStandin.Request;
import org.almondslip.standins.Standin;
import org.almondslip.store.TableStore.Condition;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;

/** Stand-in for the table service. */
public final class TableServiceStandin implements HttpStandin.Service {

  /** Start of all paths. */
  private static final String ROOT = "/tables/";

  /** Rows. */
  private final Tables tables;

  /**
   * Creates a service.
   *
   * @param tables the rows
   */
  public TableServiceStandin(Tables tables) {
    this.tables = tables;
  }

  /**
   * Reads the settings.
   *
   * @param name the name of the stand-in
   * @param section the settings
   * @return creates the stand-in
   */
  public static Standin.Factory read(String name, Section section) {
    String listen = section.address("listen");
    return vertx -> new HttpStandin(name, listen, vertx, new TableServiceStandin(new Tables()));
  }

  @Override
  public Answer handle(Request request) {
    if (!request.path().startsWith(ROOT)) {
      return Answer.of(404);
    }
    String rest = request.path().substring(ROOT.length());
    if (request.method().equals("POST") && rest.equals("transact")) {
      Outcome outcome = tables.transact(toTransaction(request.body().toJsonObject()));
      return new Answer(200, toJson(outcome).toBuffer());
    }
    if (!request.method().equals("GET")) {
      return Answer.of(405);
    }
    int slash = rest.indexOf('/');
    if (slash < 0) {
      List<Row> rows = tables.scan(rest, request.parameter("prefix"));
      return new Answer(200, new JsonObject().put("rows", toJson(rows)).toBuffer());
    }
    return tables
        .read(rest.substring(0, slash), rest.substring(slash + 1))
        .map(row -> new Answer(200, toJson(row).toBuffer()))
        .orElse(Answer.of(404));
  }

  /**
   * Reads a transaction.
   *
   * @param json the JSON form
   * @return the transaction
   */
  private static Transaction toTransaction(JsonObject json) {
    List<Condition> conditions = new ArrayList<>();
    JsonArray wanted = json.getJsonArray("conditions", new JsonArray());
    for (int i = 0; i < wanted.size(); i++) {
      JsonObject condition = wanted.getJsonObject(i);
      conditions.add(
          new Condition(
              condition.getString("table"),
              condition.getString("key"),
              condition.getLong("version")));
    }
    List<Write> writes = new ArrayList<>();
    JsonArray changes = json.getJsonArray("writes", new JsonArray());
    for (int i = 0; i < changes.size(); i++) {
      JsonObject write = changes.getJsonObject(i);
      Optional<String> value = Optional.ofNullable(write.getString("value"));
      writes.add(new Write(write.getString("table"), write.getString("key"), value));
    }
    return new Transaction(conditions, writes);
  }

  /**
   * Writes an outcome.
   *
   * @param outcome the outcome
   * @return the JSON form
   */
  private static JsonObject toJson(Outcome outcome) {
    return new JsonObject()
        .put("applied", outcome.applied())
        .put("conflicts", toJson(outcome.conflicts()));
  }

  /**
   * Writes rows.
   *
   * @param rows the rows
   * @return the JSON form
   */
  private static JsonArray toJson(List<Row> rows) {
    JsonArray json = new JsonArray();
    rows.forEach(row -> json.add(toJson(row)));
    return json;
  }

  /**
   * Writes a row.
   *
   * @param row the row
   * @return the JSON form
   */
  private static JsonObject toJson(Row row) {
    return new JsonObject()
        .put("key", row.key())
        .put("version", row.version())
        .put("value", row.value());
  }
}
