package org.almondslip.review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentHashMap;

/**
 * CONFIG and ROUTE: the operator takes away two keys, one after the other, and each was the only
 * key of its tenant. Counts the requests that still run with these keys, or with one that no
 * manifest has ever held.
 */
public final class LastKey extends Case {

  private static final long GAP_MILLIS = 1_500;

  /** Keys of the requests by attempt. */
  private final ConcurrentHashMap<String, String> keys = new ConcurrentHashMap<>();

  private final ConcurrentHashMap<String, Long> sentAt = new ConcurrentHashMap<>();

  /** Times from which a key must not run any more. */
  private final ConcurrentHashMap<String, Long> endsAt = new ConcurrentHashMap<>();

  private int ranRevoked;

  private int ranUnknown;

  private int served;

  private LastKey(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new LastKey(Path.of(args[0])));
  }

  @Override
  void prepare() throws Exception {
    addWorker("i-order-1", "orders", this::handle);
    addWorker("i-order-2", "orders", this::handle);
    put(1, tenant("one", "k-one"), tenant("two", "k-two"));
  }

  private void put(int version, String... tenants) {
    putManifest(version, String.join(",", tenants), route("orders", "non_idempotent", 1));
  }

  @Override
  int play() throws Exception {
    send("k-one", 4);
    send("k-two", 4);
    send("k-never", 4);
    if (trouble) {
      put(2, tenant("one", "k-one"));
      record.add("store acknowledges version 2 without k-two");
      endsAt.put("k-two", record.millis() + REVOKE_MILLIS);
      Thread.sleep(GAP_MILLIS);
      put(3);
      record.add("store acknowledges version 3 without k-one");
      endsAt.put("k-one", record.millis() + REVOKE_MILLIS);
    } else {
      put(2, tenant("one", "k-one"), tenant("two", "k-two"));
      Thread.sleep(GAP_MILLIS);
      put(3, tenant("one", "k-one"), tenant("two", "k-two"));
      record.add("store acknowledges versions 2 and 3, which take no key away");
    }
    Thread.sleep(REVOKE_MILLIS + 500);
    send("k-one", 10);
    send("k-two", 10);
    send("k-never", 10);
    record.add(
        "%d requests ran with a key that was taken away more than revoke_ms before, %d with a key"
            + " that no manifest has held: the rules %s",
        ranRevoked, ranUnknown, ranRevoked + ranUnknown > 0 ? "are broken" : "hold");
    if (served < (trouble ? 8 : 28)) {
      return NOT_RUN;
    }
    return ranRevoked + ranUnknown > 0 ? BROKEN : HELD;
  }

  private void send(String key, int count) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      String id = key + "-" + record.millis() + "-" + i;
      keys.put(id, key);
      sentAt.put(id, record.millis());
      int port = routers.get(i % 2).port();
      Consumer.Answer answer =
          Consumer.call(port, "POST", "/orders/1", id, key(key), "order", 2_000);
      record.add("consumer sends %s with %s and gets %d", id, key, answer.status());
      served += answer.status() == 200 ? 1 : 0;
      Thread.sleep(20);
    }
  }

  private synchronized void handle(
      Worker worker, Http.Head request, byte[] body, Socket connection) throws IOException {
    String id = request.get("almondslip-attempt-id");
    record.add(
        "%s runs %s, Almondslip-Tenant is '%s'",
        worker.id(), id, request.get("almondslip-tenant"));
    String key = keys.get(id);
    ranRevoked += sentAt.get(id) > endsAt.getOrDefault(key, Long.MAX_VALUE) ? 1 : 0;
    ranUnknown += key.equals("k-never") ? 1 : 0;
    answerDone(connection, request);
  }
}
