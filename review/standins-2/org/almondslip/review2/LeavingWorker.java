package org.almondslip.review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Orders for three workers, one of which reports that it is draining and exits. Counts the requests
 * that reach it later than drain_ms after its report was acknowledged.
 */
abstract class LeavingWorker extends Case {

  static final long BEAT_MILLIS = 1_200;

  private final ConcurrentHashMap<String, Long> sentAt = new ConcurrentHashMap<>();

  private final AtomicInteger served = new AtomicInteger();

  private final AtomicInteger lost = new AtomicInteger();

  private final AtomicInteger late = new AtomicInteger();

  Worker leaving;

  /** Time until which requests may reach the leaving worker. */
  private volatile long drainedAt = Long.MAX_VALUE;

  /** Latest entry of the leaving worker without its sequence, as it lies in the store. */
  private String stored = "";

  LeavingWorker(Path folder) throws IOException {
    super(folder);
  }

  @Override
  void prepare() throws Exception {
    for (int i = 1; i <= 3; i++) {
      addWorker("i-order-" + i, "orders", this::handle);
    }
    leaving = workers.get(0);
    putManifest(1, tenant("one", "k-one"), route("orders", "non_idempotent", 1));
  }

  /** Performs a beat of the worker. The entry changes only if more than its sequence changes. */
  final void write(String state, long sequence) {
    String entry = leaving.entry(state, 0);
    if (!entry.equals(stored)) {
      stored = entry;
      store.put("servers", leaving.id(), leaving.entry(state, sequence));
      record.add("store: the entry of %s is %s with sequence %d", leaving.id(), state, sequence);
    }
  }

  /** Writes an entry that is not the worker's own. */
  final void writeOther(String entry) {
    stored = "";
    store.put("servers", leaving.id(), entry);
    record.add("store: another writer has written the entry of %s: %s", leaving.id(), entry);
  }

  /** Performs the report of the worker that it is draining. */
  final void drain(long sequence) {
    write("draining", sequence);
    drainedAt = record.millis() + DRAIN_MILLIS;
  }

  /** Lets the worker exit, and waits for the last answers. */
  final int exitAndJudge() throws Exception {
    record.add("%s exits", leaving.id());
    leaving.crash();
    store.remove("servers", leaving.id());
    Thread.sleep(5_700);
    record.add(
        "%d requests served, %d lost with the worker (502); %d reached %s later than drain_ms after"
            + " the ack: DRAIN %s",
        served.get(), lost.get(), late.get(), leaving.id(), late.get() > 0 ? "is broken" : "holds");
    if (served.get() < 100) {
      return NOT_RUN;
    }
    return late.get() > 0 ? BROKEN : HELD;
  }

  /** Sends 40 orders a second until a time of the record. */
  final void load(long until) {
    for (int i = 0; record.millis() < until; i++) {
      int number = i;
      threads.execute(() -> send(routers.get(number % 2).port(), "order-" + number));
      try {
        Thread.sleep(25);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void send(int port, String id) {
    sentAt.put(id, record.millis());
    Consumer.Answer answer =
        Consumer.call(port, "POST", "/orders/" + id, id, key("k-one"), id, 3_000);
    if (answer.status() == 200) {
      served.incrementAndGet();
    } else {
      record.add("consumer gets %d for %s %s", answer.status(), id, answer.body());
      lost.addAndGet(answer.status() == 502 ? 1 : 0);
    }
  }

  private void handle(Worker worker, Http.Head request, byte[] body, Socket connection)
      throws IOException, InterruptedException {
    String id = request.get("almondslip-attempt-id");
    if (worker == leaving && sentAt.get(id) > drainedAt) {
      late.incrementAndGet();
      record.add("%s runs %s, sent at %.3f s", worker.id(), id, sentAt.get(id) / 1000.0);
    }
    Thread.sleep(85);
    answerDone(connection, request);
  }
}
