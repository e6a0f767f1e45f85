package org.almondslip.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;

/**
 * Traffic of one caller in which one part of a prompt crashes each worker that begins to write an
 * answer on it. Sound requests share the caller and the first part with those that crash workers.
 */
final class TaintedParts {

  /** How far the answer of a worker comes before the worker crashes. */
  enum CrashPoint {
    WITHIN_HEAD,
    AFTER_FIRST_EVENT
  }

  /** The bound contact_ms of the site. */
  static final long CONTACT_MILLIS = 3_000;

  /** Crash from which on the bounds of the rules count. */
  private static final int COUNTED_CRASH = 5;

  private static final int WORKERS = 8;

  /** Time after which a worker that has crashed is back. */
  private static final long RESTART_MILLIS = 4_000;

  /** Time for which a worker reads a prompt. */
  private static final long PREFILL_MILLIS = 30;

  private static final int EVENTS = 12;

  private static final long EVENT_INTERVAL_MILLIS = 60;

  /** Number of sound requests before the first one that crashes a worker. */
  private static final int SOUND_BEFORE = 40;

  private static final long SOUND_INTERVAL_MILLIS = 300;

  private static final long DISRUPTION_MILLIS = 30_000;

  /** Time from the first bytes of an answer to the crash. */
  private static final long CRASH_DELAY_MILLIS = 10;

  private static final long POLL_MILLIS = 5;

  private static final String CRASHING_PART = "bad5bad5";

  private final Lab lab;

  private final CrashPoint crashPoint;

  private final long taintedIntervalMillis;

  private final List<Lab.Router> routers = new ArrayList<>();

  private final ExecutorService clients = Executors.newCachedThreadPool();

  /** Requests that workers have begun. */
  private final Set<String> begun = ConcurrentHashMap.newKeySet();

  /** Sound streams that a crash has cut off. */
  private final Set<String> cutOff = ConcurrentHashMap.newKeySet();

  /** Times at which workers received requests with the crashing part. */
  private final List<Long> arrivals = new CopyOnWriteArrayList<>();

  private final List<Long> crashes = new CopyOnWriteArrayList<>();

  /** Times at which sound requests were sent, by their numbers. */
  private final List<Long> soundSentAt = new ArrayList<>();

  TaintedParts(Lab lab, CrashPoint crashPoint, long taintedIntervalMillis) {
    this.lab = lab;
    this.crashPoint = crashPoint;
    this.taintedIntervalMillis = taintedIntervalMillis;
  }

  /** Starts eight workers and two routers, and plays the traffic. */
  void play() throws Exception {
    lab.manifest(
        1,
        Lab.route("log", "ovens", "streaming", 1, 12_000, ",\"sticky\":true,\"target_gap_ms\":600"),
        "{\"name\":\"ovens\",\"engine\":{\"batch_slots\":64,\"kv_capacity\":373092}}",
        Lab.tenant("bakery", "\"" + Lab.KEY + "\""));
    for (int i = 1; i <= WORKERS; i++) {
      lab.worker("oven-" + i, "ovens", 64, this::serve);
    }
    routers.add(lab.router("edge-1"));
    routers.add(lab.router("edge-2"));
    Lab.sleep(CONTACT_MILLIS);
    while (soundSentAt.size() < SOUND_BEFORE) {
      sendSound();
      Lab.sleep(SOUND_INTERVAL_MILLIS);
    }
    long end = lab.millis() + DISRUPTION_MILLIS;
    long nextSound = 0;
    long nextTainted = 0;
    int tainted = 0;
    while (lab.millis() < end) {
      long now = lab.millis();
      if (now >= nextTainted) {
        nextTainted = now + taintedIntervalMillis;
        send("tainted", tainted++, CRASHING_PART, 65_536);
      }
      if (now >= nextSound) {
        nextSound = now + SOUND_INTERVAL_MILLIS;
        sendSound();
      }
      Lab.sleep(POLL_MILLIS);
    }
    Lab.sleep(CONTACT_MILLIS);
    clients.shutdown();
    if (lab.trouble && crashes.size() < 3) {
      throw new IllegalStateException("only " + crashes.size() + " crashes");
    }
    lab.log("%d crashes, %d sound streams were cut off", crashes.size(), cutOff.size());
  }

  /**
   * Returns whether sound requests begin at least half as often as before, from twice the contact
   * time after the fifth crash, or the last one if there are fewer.
   */
  boolean soundRequestsBegin() {
    long from = lab.trouble ? countedCrashAt() + 2 * CONTACT_MILLIS : 0;
    int first = SOUND_BEFORE;
    while (first < soundSentAt.size() && soundSentAt.get(first) < from) {
      first++;
    }
    int counted = soundSentAt.size() - first;
    long before = begunBetween(0, SOUND_BEFORE);
    long after = begunBetween(first, soundSentAt.size());
    lab.log(
        "%d of %d sound requests began before the crashes, %d of %d from 6 s after them",
        before, SOUND_BEFORE, after, counted);
    if (counted < 20) {
      throw new IllegalStateException("only " + counted + " sound requests");
    }
    return after * SOUND_BEFORE * 2 >= before * counted;
  }

  /** Returns how many requests with the part reached workers too late after the fifth crash. */
  long lateArrivals() {
    if (crashes.size() < COUNTED_CRASH) {
      return 0;
    }
    long from = countedCrashAt() + CONTACT_MILLIS;
    long late = arrivals.stream().filter(at -> at > from).count();
    lab.log(
        "the fifth crash was at %d; from %d on, %d requests with the part reached workers",
        countedCrashAt(), from, late);
    return late;
  }

  private long countedCrashAt() {
    return crashes.get(Math.min(crashes.size(), COUNTED_CRASH) - 1);
  }

  private long begunBetween(int from, int to) {
    return IntStream.range(from, to).filter(i -> begun.contains("sound-" + i)).count();
  }

  private void sendSound() {
    soundSentAt.add(lab.millis());
    send("sound", soundSentAt.size() - 1, "c2", 4_096);
  }

  /** Sends a request whose last part is its own to one of the routers in turn. */
  private void send(String kind, int number, String secondPart, int firstOwnPart) {
    Lab.Router router = routers.get(number % routers.size());
    String ownPart = Integer.toHexString(firstOwnPart + number);
    String prefix = "a1:512," + secondPart + ":4870," + ownPart + ":1200";
    clients.execute(() -> exchange(router, kind + "-" + number, prefix));
  }

  private void exchange(Lab.Router router, String id, String prefix) {
    try (Lab.Client client = lab.client(router)) {
      lab.log("client sends %s to %s", id, router.name);
      client.send(
          Lab.request(
              "POST",
              "/log/" + id,
              id,
              Lab.key()
                  + "Connection: close\r\nAlmondslip-Deadline-Ms: 12000\r\nAlmondslip-Model: m\r\n"
                  + "Almondslip-Token-Count: 6582,55\r\nAlmondslip-Prefix-Hash: "
                  + prefix
                  + "\r\n",
              "log of " + id));
      Lab.Answer answer = client.receive();
      if (id.startsWith("sound") && answer.status() == 200 && !answer.complete()) {
        cutOff.add(id);
      }
      lab.log(
          "client gets %d for %s, %s %s",
          answer.status(),
          id,
          answer.complete() ? "complete" : "broken off",
          answer.status() == 200 ? "" : answer.body());
    } catch (IOException e) {
      lab.log("client: %s", e.getMessage());
    }
  }

  private void serve(Lab.Worker worker, Lab.Request request) throws Exception {
    boolean tainted = request.header("Almondslip-Prefix-Hash").contains(CRASHING_PART);
    lab.log("%s runs %s", worker.id, request.id());
    begun.add(request.id());
    if (tainted) {
      arrivals.add(lab.millis());
    }
    Lab.sleep(PREFILL_MILLIS);
    String head =
        request.head(200, "OK").replace("text/plain", "text/event-stream")
            + "Transfer-Encoding: chunked\r\n\r\n";
    if (tainted && lab.trouble) {
      beginAnswer(request, head);
      Lab.sleep(CRASH_DELAY_MILLIS);
      worker.crash(RESTART_MILLIS);
      crashes.add(lab.millis());
      return;
    }
    request.write(head);
    for (int i = 1; i <= EVENTS; i++) {
      request.chunk(event(request, i));
      Lab.sleep(EVENT_INTERVAL_MILLIS);
    }
    request.write("0\r\n\r\n");
  }

  /** Writes the part of an answer that leaves a worker before it crashes. */
  private void beginAnswer(Lab.Request request, String head) throws IOException {
    if (crashPoint == CrashPoint.WITHIN_HEAD) {
      request.write(head.substring(0, head.indexOf("Almondslip")));
    } else {
      request.write(head);
      request.chunk(event(request, 1));
    }
  }

  private static String event(Lab.Request request, int number) {
    return "id: " + number + "\ndata: " + request.id() + "/" + number + "\n\n";
  }
}
