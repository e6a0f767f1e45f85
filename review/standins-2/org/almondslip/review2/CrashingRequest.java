package org.almondslip.review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * BUDGET: a request that crashes the workers that run it comes again every two seconds. Counts how
 * often it reaches workers later than contact_ms after its third crash.
 */
public final class CrashingRequest extends Case {

  private static final long DOWN_MILLIS = 2_000;

  private static final long RUN_MILLIS = 98_000;

  /** Time between two requests. */
  private static final long PERIOD_MILLIS = 50;

  /** The request that crashes workers comes every two seconds, at both routers by turns. */
  private static final int CRASHING_INTERVAL = 40;

  /** Time for which a worker runs a sound request. */
  private static final long SOUND_MILLIS = 300;

  private static final String CRASHING_BODY = "order 4711";

  /** Times at which the crashing request was sent, by attempt. */
  private final ConcurrentHashMap<String, Long> sentAt = new ConcurrentHashMap<>();

  private final List<Long> crashes = new ArrayList<>();

  /** Times at which the arrivals at workers were sent. */
  private final List<Long> arrivals = new ArrayList<>();

  private final AtomicInteger soundSent = new AtomicInteger();

  private final AtomicInteger soundServed = new AtomicInteger();

  private final AtomicInteger soundCut = new AtomicInteger();

  private CrashingRequest(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new CrashingRequest(Path.of(args[0])));
  }

  @Override
  void prepare() throws Exception {
    for (int i = 1; i <= 6; i++) {
      addWorker("i-order-" + i, "orders", this::handle);
    }
    putManifest(1, tenant("one", "k-one"), route("orders", "non_idempotent", 1));
  }

  @Override
  int play() throws Exception {
    load(routers.get(0), routers.get(1));
    return judge();
  }

  private void load(Router first, Router second) throws InterruptedException {
    long startedAt = record.millis();
    for (int i = 0; record.millis() - startedAt < RUN_MILLIS; i++) {
      int number = i;
      if (i % CRASHING_INTERVAL == 0) {
        int port = i / CRASHING_INTERVAL % 2 == 0 ? first.port() : second.port();
        threads.execute(() -> sendCrashing(port, number));
      } else {
        threads.execute(() -> sendSound((number % 2 == 0 ? first : second).port(), number));
      }
      sleepUntil(startedAt + (i + 1) * PERIOD_MILLIS);
    }
    Thread.sleep(3_500);
  }

  private void sendCrashing(int port, int number) {
    String id = "crash-" + number;
    sentAt.put(id, record.millis());
    record.add("consumer sends %s, the request that crashes workers", id);
    Consumer.Answer answer =
        Consumer.call(port, "POST", "/orders/4711", id, key("k-one"), CRASHING_BODY, 3_000);
    record.add("consumer gets %d for %s %s%s", answer.status(), id, answer.body(), answer.failure());
  }

  private void sendSound(int port, int number) {
    String id = "sound-" + number;
    soundSent.incrementAndGet();
    Consumer.Answer answer =
        Consumer.call(port, "POST", "/orders/" + number, id, key("k-one"), "order " + number, 3_000);
    if (answer.status() == 200 && answer.body().equals("done " + id)) {
      soundServed.incrementAndGet();
    } else {
      record.add("consumer gets %d for %s %s", answer.status(), id, answer.body());
      soundCut.addAndGet(answer.status() == 502 ? 1 : 0);
    }
  }

  private void handle(
      Worker worker, Http.Head request, byte[] body, Socket connection)
      throws IOException, InterruptedException {
    String id = request.get("almondslip-attempt-id");
    if (!id.startsWith("crash-")) {
      Thread.sleep(SOUND_MILLIS);
      answerDone(connection, request);
      return;
    }
    synchronized (this) {
      arrivals.add(sentAt.get(id));
    }
    record.add("%s runs %s", worker.id(), id);
    Thread.sleep(60);
    if (!trouble) {
      answerDone(connection, request);
      return;
    }
    synchronized (this) {
      crashes.add(record.millis());
    }
    record.add("%s crashes while it runs %s", worker.id(), id);
    worker.crash();
    threads.execute(
        () -> {
          try {
            Thread.sleep(DOWN_MILLIS);
            worker.restart();
            store.put("servers", worker.id(), worker.entry("ready", 1));
          } catch (IOException | InterruptedException e) {
            record.add("%s isn't back: %s", worker.id(), e);
          }
        });
  }

  private synchronized int judge() {
    record.add(
        "sound requests: %d sent, %d served, %d lost with a worker (502)",
        soundSent.get(), soundServed.get(), soundCut.get());
    if (soundServed.get() < soundSent.get() / 2) {
      record.add("the case could not run");
      return NOT_RUN;
    }
    if (!trouble) {
      boolean all = arrivals.size() == sentAt.size() && soundServed.get() == soundSent.get();
      record.add("without trouble: %s", all ? "all requests were served" : "NOT all were served");
      return all ? HELD : NOT_RUN;
    }
    if (crashes.size() < 3) {
      record.add("the case could not run: fewer than three crashes");
      return NOT_RUN;
    }
    long from = crashes.get(2) + CONTACT_MILLIS;
    long late = arrivals.stream().filter(at -> at > from).count();
    record.add(
        "third crash at %.3f s; %d retries, sent later than contact_ms after it, reached workers;"
            + " 3 are allowed: BUDGET %s",
        crashes.get(2) / 1000.0, late, late > 3 ? "is broken" : "holds");
    return late > 3 ? BROKEN : HELD;
  }
}
