package org.almondslip.review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Sound store of the platform: rows-get, rows-feed and rows-tx without preconditions. */
public final class Store implements AutoCloseable {

  private static final Pattern FIELD = Pattern.compile("\"(\\w+)\"\\s*:\\s*\"([^\"]*)\"");

  private static final Pattern WRITES = Pattern.compile("\"writes\"\\s*:\\s*\\[([^\\]]*)\\]");

  private static final Pattern OBJECT = Pattern.compile("\\{[^}]*\\}");

  private record Row(String table, String key, String value, long version) {
    String json() {
      String end = value == null ? "\"deleted\":true" : "\"value\":\"" + value + "\"";
      return String.format(
          "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",%s,\"row_version\":%d}",
          table, key, end, version);
    }
  }

  private final HttpServer server;

  private final ExecutorService executor = Executors.newCachedThreadPool();

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

  private final List<Row> history = new ArrayList<>();

  private long version;

  /** Starts an empty store. */
  public Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Returns the address as ip:port. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a row and returns after it is acknowledged. */
  public synchronized void put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    change(table, key, value);
  }

  /** Removes a row. */
  public synchronized void remove(String table, String key) {
    change(table, key, null);
  }

  private void change(String table, String key, String value) {
    Row row = new Row(table, key, value, ++version);
    history.add(row);
    TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
    if (value == null) {
      rows.remove(key);
    } else {
      rows.put(key, row);
    }
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String answer;
      switch (exchange.getRequestURI().getPath()) {
        case "/v1/rows-get" -> answer = get(query(exchange));
        case "/v1/rows-feed" -> answer = feed(query(exchange));
        case "/v1/rows-tx" -> answer = transact(body);
        default -> answer = null;
      }
      byte[] bytes = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer == null ? 404 : 200, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
      int at = pair.indexOf('=');
      values.put(
          pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
    }
    return values;
  }

  private synchronized String get(Map<String, String> query) {
    TreeMap<String, Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>());
    String from = query.getOrDefault("from", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    List<Row> found = rows.tailMap(from).values().stream().limit(limit).toList();
    return answer(found, ",\"has_more\":" + (rows.tailMap(from).size() > limit));
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (true) {
      List<Row> rows =
          history.stream()
              .filter(row -> row.table.equals(query.get("table")) && row.version > after)
              .toList();
      long millis = (until - System.nanoTime()) / 1_000_000;
      if (!rows.isEmpty() || millis <= 0) {
        return answer(rows, "");
      }
      wait(millis);
    }
  }

  private synchronized String transact(String body) {
    Matcher writes = WRITES.matcher(body);
    if (writes.find()) {
      Matcher rows = OBJECT.matcher(writes.group(1));
      while (rows.find()) {
        Map<String, String> fields = new HashMap<>();
        Matcher field = FIELD.matcher(rows.group());
        while (field.find()) {
          fields.put(field.group(1), field.group(2));
        }
        change(fields.get("table"), fields.get("key"), fields.get("value"));
      }
    }
    return answer(List.of(), "");
  }

  private String answer(List<Row> rows, String more) {
    return "{\"rows\":["
        + String.join(",", rows.stream().map(Row::json).toList())
        + "]"
        + more
        + ",\"row_version\":"
        + version
        + ",\"now_ms\":"
        + System.nanoTime() / 1_000_000
        + "}";
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
