package org.almondslip.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule ORDER: a worker sends bytes that are no event and breaks off. The router passes these bytes
 * on without an end of an event and joins the events of the next worker to them.
 */
final class Case2 {

  private static final int CLIENTS = 4;

  private static final long SENDING_MILLIS = 4_500;

  /** The faulty worker spoils one of so many answers. */
  private static final int SPOILED_INTERVAL = 50;

  private static final int EVENTS = 6;

  /** Event after which the faulty worker sends other bytes. */
  private static final int LAST_GOOD_EVENT = 3;

  private static final int CHUNK_BYTES = 4_096;

  private static final int CHUNKS = 32;

  private Case2() {}

  public static void main(String[] args) {
    Lab.main(args, Case2::run);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.manifest(
        1,
        Lab.route(
            "note",
            "ovens",
            "streaming",
            2,
            10_000,
            ",\"resumable\":true,\"sticky\":true,\"target_gap_ms\":600"),
        "{\"name\":\"ovens\",\"engine\":{\"batch_slots\":64,\"kv_capacity\":373092}}",
        Lab.tenant("bakery", "\"" + Lab.KEY + "\""));
    for (int i = 1; i <= 3; i++) {
      boolean faulty = lab.trouble && i == 1;
      AtomicInteger arrivals = new AtomicInteger();
      lab.worker(
          "oven-" + i,
          "ovens",
          64,
          (worker, request) ->
              serve(
                  lab,
                  worker,
                  request,
                  faulty && arrivals.incrementAndGet() % SPOILED_INTERVAL == 0));
    }
    Lab.Router router = lab.router("edge-1");
    Lab.sleep(500);
    List<String> broken = new CopyOnWriteArrayList<>();
    AtomicInteger complete = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String name = "c" + i;
      Thread client = new Thread(() -> readStreams(lab, router, name, broken, complete));
      client.start();
      clients.add(client);
    }
    for (Thread client : clients) {
      client.join();
    }
    lab.log("%d complete streams, %d of them with a piece missing", complete.get(), broken.size());
    if (complete.get() < 50) {
      throw new IllegalStateException("only " + complete.get() + " streams were complete");
    }
    return broken.isEmpty();
  }

  private static String event(String request, int number) {
    return "id: " + number + "\ndata: " + request + "/" + number + "\n\n";
  }

  private static void serve(Lab lab, Lab.Worker worker, Lab.Request request, boolean spoiled)
      throws Exception {
    String last = request.header("Last-Event-Id");
    int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    lab.log("%s runs %s from event %d", worker.id, request.id(), first);
    request.write(
        request.head(200, "OK").replace("text/plain", "text/event-stream")
            + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = first; i <= EVENTS; i++) {
      request.chunk(event(request.id(), i));
      Lab.sleep(5);
      if (spoiled && i == LAST_GOOD_EVENT) {
        lab.log(
            "%s sends %d other bytes in %s and breaks off",
            worker.id, CHUNKS * CHUNK_BYTES, request.id());
        for (int j = 0; j < CHUNKS; j++) {
          request.chunk("#".repeat(CHUNK_BYTES));
        }
        Lab.sleep(50);
        request.reset();
        return;
      }
    }
    request.write("0\r\n\r\n");
  }

  private static void readStreams(
      Lab lab, Lab.Router router, String name, List<String> broken, AtomicInteger complete) {
    long end = lab.millis() + SENDING_MILLIS;
    for (int number = 0; lab.millis() < end; number++) {
      String id = name + "-" + number;
      try (Lab.Client client = lab.client(router)) {
        lab.log("client sends %s", id);
        client.send(
            Lab.request(
                "POST",
                "/note/new",
                id,
                Lab.key()
                    + "Connection: close\r\nAlmondslip-Deadline-Ms: 10000\r\nAlmondslip-Model: m\r\n"
                    + "Almondslip-Token-Count: 600,40\r\nAlmondslip-Prefix-Hash: a1:119,b2:79,"
                    + Integer.toHexString(id.hashCode())
                    + ":402\r\n",
                "how do I feed my starter"));
        Lab.Answer answer = client.receive();
        List<String> ids = eventIds(answer.body(), id);
        lab.log(
            "client gets %d for %s, %s, pieces %s, %d bytes",
            answer.status(),
            id,
            answer.complete() ? "complete" : "broken off",
            ids,
            answer.body().length());
        if (answer.status() == 200 && answer.complete()) {
          complete.incrementAndGet();
          if (!ids.equals(List.of("1", "2", "3", "4", "5", "6"))) {
            lab.log("ORDER: stream %s ended as complete with the pieces %s", id, ids);
            broken.add(id);
          }
        }
      } catch (IOException e) {
        lab.log("client %s: %s", name, e.getMessage());
      }
    }
  }

  /** Returns the ids of the events that a client reads, as an event stream is parsed. */
  private static List<String> eventIds(String body, String request) {
    List<String> ids = new ArrayList<>();
    for (String event : body.split("\n\n")) {
      String number = "";
      String data = "";
      for (String line : event.split("\n")) {
        number = line.startsWith("id: ") ? line.substring(4) : number;
        data = line.startsWith("data: ") ? line.substring(6) : data;
      }
      if (!number.isEmpty() && data.equals(request + "/" + number)) {
        ids.add(number);
      }
    }
    return ids;
  }
}
