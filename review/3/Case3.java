package org.almondslip.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

/**
 * Rule LOST: after three crashes by one part of a prompt, the routers refuse another, sound part
 * that stands behind it, and with it the sound requests of the same caller.
 */
final class Case3 {

  private static final long CONTACT_MILLIS = 3_000;

  private static final int WORKERS = 8;

  /** Time after which a worker that has crashed is back. */
  private static final long RESTART_MILLIS = 3_000;

  /** Time for which a worker reads a prompt. */
  private static final long PREFILL_MILLIS = 30;

  private static final int EVENTS = 12;

  /** The part that crashes workers. */
  private static final String CRASHING_PART = "bad5bad5";

  /** Time between two sound requests. */
  private static final long SOUND_INTERVAL_MILLIS = 500;

  /** Time between two requests with the crashing part. */
  private static final long TAINTED_INTERVAL_MILLIS = 150;

  /** Number of sound requests before the first one with the crashing part. */
  private static final int SOUND_BEFORE = 30;

  private static final int TAINTED_IN_A_ROW = 3;

  private static final long DISRUPTION_MILLIS = 32_000;

  /** Fewest sound requests of each kind for which the rule holds. */
  private static final int MIN_COUNTED = 20;

  private static final Set<String> begun = ConcurrentHashMap.newKeySet();

  private static final List<Long> crashes = new CopyOnWriteArrayList<>();

  private Case3() {}

  public static void main(String[] args) {
    Lab.main(args, Case3::run);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.manifest(
        1,
        Lab.route("log", "ovens", "streaming", 1, 12_000, ",\"sticky\":true,\"target_gap_ms\":600"),
        "{\"name\":\"ovens\",\"engine\":{\"batch_slots\":64,\"kv_capacity\":373092}}",
        Lab.tenant("bakery", "\"" + Lab.KEY + "\""));
    for (int i = 1; i <= WORKERS; i++) {
      lab.worker("oven-" + i, "ovens", 64, (worker, request) -> serve(lab, worker, request));
    }
    List<Lab.Router> routers = new ArrayList<>();
    routers.add(lab.router("edge-1"));
    routers.add(lab.router("edge-2"));
    Lab.sleep(CONTACT_MILLIS);
    int number = 0;
    for (; number < SOUND_BEFORE; number++) {
      sendSound(lab, routers, number);
      Lab.sleep(SOUND_INTERVAL_MILLIS);
    }
    long before = begunBetween(0, SOUND_BEFORE);
    int first = -1;
    int tainted = 0;
    long end = lab.millis() + DISRUPTION_MILLIS;
    while (lab.millis() < end) {
      int row = tainted == 0 ? TAINTED_IN_A_ROW : 1;
      for (int i = 0; i < row; i++) {
        sendTainted(lab, routers, tainted++);
        Lab.sleep(TAINTED_INTERVAL_MILLIS);
      }
      boolean counted =
          !lab.trouble
              || !crashes.isEmpty()
                  && lab.millis()
                      > crashes.get(Math.min(crashes.size(), 5) - 1) + 2 * CONTACT_MILLIS;
      if (first < 0 && counted) {
        first = number;
      }
      sendSound(lab, routers, number++);
      Lab.sleep(SOUND_INTERVAL_MILLIS);
    }
    int counted = first < 0 ? 0 : number - first;
    long during = counted == 0 ? 0 : begunBetween(first, number);
    lab.log(
        "%d crashes; before them %d of %d sound requests began, from 6 s after them %d of %d",
        crashes.size(), before, SOUND_BEFORE, during, counted);
    if (counted < MIN_COUNTED) {
      throw new IllegalStateException("only " + counted + " sound requests");
    }
    return during * SOUND_BEFORE * 2 >= before * counted;
  }

  private static long begunBetween(int from, int to) {
    return IntStream.range(from, to).filter(i -> begun.contains("sound-" + i)).count();
  }

  private static void sendSound(Lab lab, List<Lab.Router> routers, int number) {
    String last = ",b2:4870," + Integer.toHexString(4096 + number) + ":1200";
    send(
        lab,
        routers.get(number % 2),
        "/log/s" + number,
        "sound-" + number,
        "a1:512" + last,
        "log " + number);
  }

  private static void sendTainted(Lab lab, List<Lab.Router> routers, int number) {
    String last = ",b2:4870," + Integer.toHexString(65536 + number) + ":1200";
    Lab.Router router = routers.get(number < TAINTED_IN_A_ROW ? 0 : number % 2);
    send(
        lab,
        router,
        "/log/t" + number,
        "tainted-" + number,
        CRASHING_PART + ":512" + last,
        "tainted log " + number);
  }

  private static void serve(Lab lab, Lab.Worker worker, Lab.Request request) throws Exception {
    boolean crashing =
        lab.trouble && request.header("Almondslip-Prefix-Hash").contains(CRASHING_PART);
    lab.log("%s runs %s", worker.id, request.id());
    begun.add(request.id());
    Lab.sleep(PREFILL_MILLIS);
    String head =
        request.head(200, "OK").replace("text/plain", "text/event-stream")
            + "Transfer-Encoding: chunked\r\n\r\n";
    if (crashing) {
      request.write(head);
      request.chunk("id: 1\ndata: " + request.id() + "/1\n\n");
      Lab.sleep(20);
      worker.crash(RESTART_MILLIS);
      crashes.add(lab.millis());
      return;
    }
    request.write(head);
    for (int i = 1; i <= EVENTS; i++) {
      request.chunk("id: " + i + "\ndata: " + request.id() + "/" + i + "\n\n");
      Lab.sleep(20);
    }
    request.write("0\r\n\r\n");
  }

  private static void send(
      Lab lab, Lab.Router router, String path, String id, String prefix, String body) {
    try (Lab.Client client = lab.client(router)) {
      lab.log("client sends %s to %s", id, router.name);
      client.send(
          Lab.request(
              "POST",
              path,
              id,
              Lab.key()
                  + "Connection: close\r\nAlmondslip-Deadline-Ms: 12000\r\nAlmondslip-Model: m\r\n"
                  + "Almondslip-Token-Count: 6582,55\r\nAlmondslip-Prefix-Hash: "
                  + prefix
                  + "\r\n",
              body));
      Lab.Answer answer = client.receive();
      lab.log(
          "client gets %d for %s, %s, %d bytes",
          answer.status(),
          id,
          answer.complete() ? "complete" : "broken off",
          answer.body().length());
    } catch (IOException e) {
      lab.log("client: %s", e.getMessage());
    }
  }
}
