package org.almondslip.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Rule BUDGET: a request that crashes each worker after its third event is sent to one worker after
 * the other without end.
 */
final class Case5 {

  private static final long CONTACT_MILLIS = 3_000;

  /** Number of retries that the rule allows after the third crash and the contact time. */
  private static final int ALLOWED_RETRIES = 3;

  private static final long SENDING_MILLIS = 30_000;

  private static final int WORKERS = 8;

  /** Time after which a worker that has crashed is back. */
  private static final long RESTART_MILLIS = 3_000;

  private static final int EVENTS = 12;

  /** Event after which the worker crashes. */
  private static final int LAST_EVENT = 3;

  private static final List<Long> arrivals = new CopyOnWriteArrayList<>();

  private static final List<Long> crashes = new CopyOnWriteArrayList<>();

  private Case5() {}

  public static void main(String[] args) {
    Lab.main(args, Case5::run);
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
    long end = lab.millis() + SENDING_MILLIS;
    for (int number = 0; lab.millis() < end; number++) {
      Lab.Router router = routers.get(number % 2);
      send(
          lab,
          router,
          "/log/same",
          "same-" + number,
          "a1:512,b2:4870,c3:1200",
          "why did my starter go sour");
      send(
          lab,
          router,
          "/log/" + number,
          "sound-" + number,
          "a1:512,b2:4870," + Integer.toHexString(4096 + number) + ":1200",
          "log " + number);
      Lab.sleep(700);
    }
    if (!lab.trouble) {
      return true;
    }
    if (crashes.size() < 3) {
      throw new IllegalStateException("only " + crashes.size() + " crashes");
    }
    long from = crashes.get(2) + CONTACT_MILLIS;
    long retries = arrivals.stream().filter(at -> at > from).count();
    lab.log(
        "the third crash was at %d; from %d on, %d retries reached workers, %d are allowed",
        crashes.get(2), from, retries, ALLOWED_RETRIES);
    return retries <= ALLOWED_RETRIES;
  }

  private static void serve(Lab lab, Lab.Worker worker, Lab.Request request) throws Exception {
    boolean crashing = lab.trouble && request.line().contains("/log/same");
    lab.log("%s runs %s", worker.id, request.id());
    if (crashing) {
      arrivals.add(lab.millis());
    }
    request.write(
        request.head(200, "OK").replace("text/plain", "text/event-stream")
            + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= EVENTS; i++) {
      request.chunk("id: " + i + "\ndata: " + request.id() + "/" + i + "\n\n");
      Lab.sleep(20);
      if (crashing && i == LAST_EVENT) {
        worker.crash(RESTART_MILLIS);
        crashes.add(lab.millis());
        return;
      }
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
