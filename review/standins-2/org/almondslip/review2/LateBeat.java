package org.almondslip.review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: a worker's beat gets no answer and is performed seconds later, after the same worker has
 * reported that it is draining. Counts the requests that reach the worker after drain_ms.
 */
public final class LateBeat extends Case {

  private static final long BEAT_MILLIS = 1_200;

  /** When the store performs the beat that it has not answered: pages: 1 to 6 s later. */
  private static final long LATE_MILLIS = 5_900;

  /** When the worker reports draining; the store has been without disturbance for contact_ms. */
  private static final long DRAINING_AT = 3_300;

  /** When the worker exits: drain_ms after its report and a little longer. */
  private static final long EXIT_AT = 6_800;

  private final ConcurrentHashMap<String, Long> sentAt = new ConcurrentHashMap<>();

  private final AtomicInteger served = new AtomicInteger();

  private final AtomicInteger lost = new AtomicInteger();

  private final AtomicInteger late = new AtomicInteger();

  private Worker leaving;

  /** Time until which requests may reach the leaving worker. */
  private volatile long drainedAt = Long.MAX_VALUE;

  /** Latest entry of the leaving worker without its sequence, as it lies in the store. */
  private String stored = "";

  private LateBeat(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) throws Exception {
    System.exit(new LateBeat(Path.of(args[0])).run());
  }

  @Override
  void prepare() throws Exception {
    for (int i = 1; i <= 3; i++) {
      addWorker("i-order-" + i, "orders", this::handle);
    }
    leaving = workers.get(0);
    putManifest(1, tenant("one", "k-one"), route("orders", "non_idempotent", 1));
  }

  @Override
  int play() throws Exception {
    long start = record.millis() + 500;
    threads.execute(() -> load(start + 9_000));
    write("ready", 6);
    sleepUntil(start);
    if (trouble) {
      record.add("store: beat 7 of %s (ready) gets no answer", leaving.id());
    } else {
      write("ready", 7);
    }
    sleepUntil(start + BEAT_MILLIS);
    write("ready", 8);
    sleepUntil(start + 2 * BEAT_MILLIS);
    write("ready", 9);
    sleepUntil(start + DRAINING_AT);
    write("draining", 10);
    drainedAt = record.millis() + DRAIN_MILLIS;
    sleepUntil(start + DRAINING_AT + BEAT_MILLIS);
    write("draining", 11);
    sleepUntil(start + DRAINING_AT + 2 * BEAT_MILLIS);
    write("draining", 12);
    sleepUntil(start + LATE_MILLIS);
    if (trouble) {
      record.add("store: performs beat 7 of %s (ready) now", leaving.id());
      write("ready", 7);
    }
    sleepUntil(start + EXIT_AT);
    record.add("%s exits", leaving.id());
    leaving.crash();
    store.remove("servers", leaving.id());
    sleepUntil(start + 12_500);
    record.add(
        "%d requests served, %d lost with the worker (502); %d reached %s later than drain_ms after"
            + " the ack: DRAIN %s",
        served.get(), lost.get(), late.get(), leaving.id(), late.get() > 0 ? "is broken" : "holds");
    if (served.get() < 100) {
      return NOT_RUN;
    }
    return late.get() > 0 ? BROKEN : HELD;
  }

  /** Performs a beat. The entry changes only if more than its sequence changes. */
  private void write(String state, long sequence) {
    String entry = leaving.entry(state, 0);
    if (!entry.equals(stored)) {
      stored = entry;
      store.put("servers", leaving.id(), leaving.entry(state, sequence));
      record.add("store: the entry of %s is %s with sequence %d", leaving.id(), state, sequence);
    }
  }

  private void load(long until) {
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
