package org.almondslip.review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** What all cases share: a store, workers, two routers and a record. */
abstract class Case {

  /** Bounds of the small deployments. */
  static final long CONTACT_MILLIS = 3_000;

  static final long DRAIN_MILLIS = 2_500;

  static final long REVOKE_MILLIS = 5_000;

  static final int HELD = 0;

  static final int BROKEN = 1;

  static final int NOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  final Record record;

  final Store store = new Store();

  final List<Worker> workers = new ArrayList<>();

  final List<Router> routers = new ArrayList<>();

  final ExecutorService threads = Executors.newCachedThreadPool();

  Case(Path folder) throws IOException {
    record = new Record(folder.resolve("record.txt"));
  }

  /** Runs a case and ends with its exit status, which is 2 if anything unexpected happens. */
  static void exit(Callable<Case> opening) {
    int status = NOT_RUN;
    try {
      status = opening.call().run();
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Puts the workers and the first manifest into the store. */
  abstract void prepare() throws Exception;

  /** Plays the case and returns the exit status. */
  abstract int play() throws Exception;

  final int run() throws Exception {
    Path folder = Files.createTempDirectory("review-2");
    try {
      prepare();
      for (int i = 1; i <= 2; i++) {
        Router router = new Router(folder, "router-" + i, store.address());
        routers.add(router);
        router.start();
      }
      for (Router router : routers) {
        router.awaitReady();
      }
      Thread.sleep(CONTACT_MILLIS);
      record.add("two routers are ready; trouble is %s", trouble ? "on" : "off");
      int status = play();
      for (Router router : routers) {
        if (!router.isAlive()) {
          record.add("a router has ended");
          return NOT_RUN;
        }
      }
      return status;
    } catch (Exception e) {
      record.add("the case could not run: %s", e);
      return NOT_RUN;
    } finally {
      routers.forEach(Router::close);
      threads.shutdownNow();
      for (Worker worker : workers) {
        worker.close();
      }
      store.close();
      record.close();
      delete(folder);
    }
  }

  private static void delete(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  final Worker addWorker(String id, String service, Worker.Handler handler) throws IOException {
    Worker worker = new Worker(id, service, handler);
    workers.add(worker);
    store.put("servers", id, worker.entry("ready", 1));
    return worker;
  }

  /** Writes a manifest with one route for each service. */
  final void putManifest(int version, String tenants, String... routes) {
    store.put(
        "op",
        "config",
        "{\"version\":"
            + version
            + ",\"routes\":["
            + String.join(",", routes)
            + "],\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":110,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
            + "\"tokens_per_s\":182000},\"tenants\":["
            + tenants
            + "]}");
  }

  static String route(String path, String type, int attempts) {
    return route(path, type, attempts, 3_000);
  }

  static String route(String path, String type, int attempts, int timeoutMillis) {
    return String.format(
        "{\"name\":\"r-%s\",\"host\":\"shop.example\",\"prefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeout_ms\":%d,\"target_latency_ms\":386,\"priority\":1,"
            + "\"service\":\"orders\",\"max_attempts\":%d,\"public\":false}",
        path, path, type, timeoutMillis, attempts);
  }

  static String tenant(String name, String key) {
    return String.format(
        "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1}", name, key);
  }

  static String key(String key) {
    return "Authorization: Token " + key + "\r\n";
  }

  /** Answers a request with success. */
  static void answerDone(java.net.Socket connection, Http.Head request) throws IOException {
    String id = request.get("almondslip-attempt-id");
    Worker.answer(
        connection, request, 200, "Almondslip-Response-Signature: s-" + id + "\r\n", "done " + id);
  }

  /** Sleeps until a time of the record. */
  final void sleepUntil(long millis) throws InterruptedException {
    Thread.sleep(Math.max(1, millis - record.millis()));
  }
}
