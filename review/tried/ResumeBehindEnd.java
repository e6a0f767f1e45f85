package org.almondslip.adapter;

import java.util.List;

/**
 * Trial without a rule of its own: callers that have all events of a stream, but not its end, resume
 * it. Exits with 1 if such a request fails though its worker answers it, or if sound requests are
 * refused afterwards. Run by review/tried/resume-behind-end.sh.
 */
final class ResumeBehindEnd {

  private static final int WORKERS = 6;

  private static final int CALLERS = 8;

  /** Number of callers whose connection breaks before the end of the stream. */
  private static final int RESUMING_CALLERS = 3;

  private static final int EVENTS = 5;

  private ResumeBehindEnd() {}

  public static void main(String[] args) {
    Lab.main(args, ResumeBehindEnd::run);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.manifest(
        1,
        Lab.route(
            "note", "ovens", "streaming", 2, 12_000, ",\"resumable\":true,\"target_gap_ms\":600"),
        "{\"name\":\"ovens\",\"engine\":{\"batch_slots\":64,\"kv_capacity\":373092}}",
        Lab.tenant("bakery", "\"" + Lab.KEY + "\""));
    for (int i = 1; i <= WORKERS; i++) {
      lab.worker("oven-" + i, "ovens", 64, (worker, request) -> serve(lab, worker, request));
    }
    Lab.Router router = lab.router("edge-1");
    Lab.sleep(500);
    int failed = 0;
    for (int caller = 0; caller < CALLERS; caller++) {
      failed += ask(lab, router, caller, "whole", "") ? 0 : 1;
      if (lab.trouble && caller < RESUMING_CALLERS) {
        failed += ask(lab, router, caller, "resumed", "Last-Event-Id: " + EVENTS + "\r\n") ? 0 : 1;
      }
    }
    lab.log("%d requests failed", failed);
    return failed == 0;
  }

  private static void serve(Lab lab, Lab.Worker worker, Lab.Request request) throws Exception {
    String last = request.header("Last-Event-Id");
    lab.log("%s runs %s after event '%s'", worker.id, request.id(), last);
    request.write(
        request.head(200, "OK").replace("text/plain", "text/event-stream")
            + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      request.chunk("id: " + i + "\ndata: " + request.id() + "/" + i + "\n\n");
      Lab.sleep(20);
    }
    request.write("0\r\n\r\n");
  }

  private static boolean ask(
      Lab lab, Lab.Router router, int caller, String kind, String headers) throws Exception {
    try (Lab.Client client = lab.client(router)) {
      String id = kind + "-" + caller;
      String prefix = "a1:119,c2:79," + Integer.toHexString(4_096 + caller) + ":430";
      String common =
          "Connection: close\r\nAlmondslip-Deadline-Ms: 10000\r\nAlmondslip-Model: m\r\n"
              + "Almondslip-Token-Count: 628,42\r\nAlmondslip-Prefix-Hash: "
              + prefix
              + "\r\n";
      client.send(
          Lab.request(
              "POST", "/note/" + caller, id, Lab.key() + headers + common, "note " + caller));
      Lab.Answer answer = client.receive();
      lab.log("client gets %d for %s: %s", answer.status(), id, List.of(answer.body().split("\n")));
      return answer.status() == 200 && answer.complete();
    }
  }
}
