package org.almondslip.review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * LOST: a router is stopped as planned while a consumer reads a large answer at 10 Mbit/s. Checks
 * whether the consumer gets all of it.
 */
public final class SlowReader extends Case {

  private static final int ANSWER_BYTES = 10_000_000;

  private static final int LIMIT_MILLIS = 12_000;

  private static final int PART_BYTES = 32_768;

  /** Time between two parts that the consumer reads. */
  private static final long PART_MILLIS = 25;

  private SlowReader(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the trial whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new SlowReader(Path.of(args[0])));
  }

  @Override
  void prepare() throws Exception {
    addWorker("i-files-1", "orders", this::handle);
    putManifest(1, tenant("one", "k-one"), route("files", "idempotent", 2, LIMIT_MILLIS));
  }

  @Override
  int play() throws Exception {
    Router router = routers.get(0);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(4_096);
      socket.connect(new InetSocketAddress("127.0.0.1", router.port()), 1_000);
      socket.setSoTimeout(4_000);
      String head =
          "GET /files/1 HTTP/1.1\r\nHost: shop.example\r\nAlmondslip-Attempt-Id: file-1\r\n"
              + "Almondslip-Deadline-Ms: "
              + LIMIT_MILLIS
              + "\r\n"
              + key("k-one")
              + "\r\n";
      long sentAt = record.millis();
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      threads.execute(() -> stop(router));
      InputStream in = socket.getInputStream();
      int bytes = 0;
      Http.readHead(in);
      for (int read = 1; read > 0 && bytes < ANSWER_BYTES; bytes += read) {
        read = in.readNBytes(Math.min(PART_BYTES, ANSWER_BYTES - bytes)).length;
        Thread.sleep(PART_MILLIS);
      }
      record.add(
          "consumer has got %d of %d bytes after %d ms: LOST %s",
          bytes,
          ANSWER_BYTES,
          record.millis() - sentAt,
          bytes < ANSWER_BYTES ? "is broken" : "holds");
      if (trouble) {
        router.start();
        router.awaitReady();
      }
      return bytes < ANSWER_BYTES ? BROKEN : HELD;
    }
  }

  private void stop(Router router) {
    try {
      Thread.sleep(300);
      if (trouble) {
        record.add("SIGTERM");
        router.signal("TERM");
        record.add("the router has ended: %s", router.awaitEnd(8_000));
      }
    } catch (IOException | InterruptedException e) {
      record.add("the router can't be stopped: %s", e);
    }
  }

  private void handle(Worker worker, Http.Head request, byte[] body, Socket connection)
      throws IOException {
    record.add("%s answers %s", worker.id(), request.get("almondslip-attempt-id"));
    Worker.answer(
        connection, request, 200, "Almondslip-Response-Signature: s\r\n", "z".repeat(ANSWER_BYTES));
  }
}
