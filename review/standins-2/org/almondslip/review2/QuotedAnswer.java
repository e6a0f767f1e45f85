package org.almondslip.review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: an answer without a length and chunks has an event of several lines, which quote an HTTP
 * answer. Counts the streams that end without their last event although their worker is sound.
 */
public final class QuotedAnswer extends Case {

  private static final int REQUESTS = 120;

  /** One in so many answers has no length: pages: 0.05 of the answers. */
  private static final int UNFRAMED_INTERVAL = 20;

  private static final int EVENTS = 8;

  private final AtomicInteger ran = new AtomicInteger();

  private QuotedAnswer(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new QuotedAnswer(Path.of(args[0])));
  }

  @Override
  void prepare() throws Exception {
    addWorker("i-chat-1", "orders", this::handle);
    addWorker("i-chat-2", "orders", this::handle);
    putManifest(1, tenant("one", "k-one"), route("chat", "streaming", 1));
  }

  @Override
  int play() throws Exception {
    int whole = 0;
    int cut = 0;
    int refused = 0;
    for (Router router : routers) {
      Socket channel = null;
      BufferedInputStream in = null;
      for (int i = 1; i <= REQUESTS / 2; i++) {
        if (channel == null) {
          channel = new Socket();
          channel.connect(new InetSocketAddress("127.0.0.1", router.port()), 1_000);
          channel.setSoTimeout(4_000);
          in = new BufferedInputStream(channel.getInputStream());
        }
        String id = "chat-" + router.port() + "-" + i;
        channel.getOutputStream().write(request(id, i).getBytes(StandardCharsets.ISO_8859_1));
        String outcome = read(in, id);
        if (outcome.isEmpty()) {
          whole++;
          continue;
        }
        record.add("consumer: %s on a kept channel: %s", id, outcome);
        channel.close();
        channel = null;
        cut += outcome.startsWith("cut") ? 1 : 0;
        refused += outcome.startsWith("cut") ? 0 : 1;
      }
      if (channel != null) {
        channel.close();
      }
    }
    record.add(
        "%d streams ran, %d came whole, %d were refused or failed, %d channels were closed without"
            + " the rest of the answer; 3 are allowed: LOST %s",
        ran.get(), whole, refused, cut, cut > 3 ? "is broken" : "holds");
    if (whole < REQUESTS / 2) {
      return NOT_RUN;
    }
    return cut > 3 ? BROKEN : HELD;
  }

  private static String request(String id, int number) {
    return "POST /chat/"
        + number
        + " HTTP/1.1\r\nHost: shop.example\r\nAlmondslip-Attempt-Id: "
        + id
        + "\r\nAlmondslip-Deadline-Ms: 3000\r\n"
        + key("k-one")
        + "Content-Length: 0\r\n\r\n";
  }

  /** Reads a stream; returns what is wrong, empty if it is whole. */
  private static String read(BufferedInputStream in, String id) throws IOException {
    Http.Head head;
    try {
      head = Http.readHead(in);
    } catch (EOFException e) {
      return "cut in the head";
    }
    if (head == null) {
      return "cut without an answer";
    }
    try {
      String body = new String(Http.readBody(in, head), StandardCharsets.ISO_8859_1);
      return head.status() == 200 && body.equals(events(id, EVENTS)) ? "" : "answer " + head.status();
    } catch (EOFException e) {
      return "cut in the stream";
    }
  }

  private static String events(String id, int count) {
    StringBuilder all = new StringBuilder();
    for (int i = 1; i <= count; i++) {
      all.append(event(id, i));
    }
    return all.toString();
  }

  /** Event; the fifth one explains to the reader what an HTTP answer looks like. */
  private static String event(String id, int number) {
    String text =
        number == 5
            ? "data: The shop then answers:\ndata: HTTP/1.1 200 OK\ndata: Content-Type: text/plain"
            : "data: " + id + " piece " + number;
    return "id: " + number + "\n" + text + "\n\n";
  }

  private void handle(Worker worker, Http.Head request, byte[] body, Socket connection)
      throws IOException, InterruptedException {
    String id = request.get("almondslip-attempt-id");
    int number = Integer.parseInt(request.path().substring("/chat/".length()));
    boolean framed = !trouble || number % UNFRAMED_INTERVAL != 0;
    OutputStream out = connection.getOutputStream();
    String head =
        "HTTP/1.1 200 OK\r\nAlmondslip-Attempt-Id: "
            + id
            + "\r\nAlmondslip-Response-Signature: s-"
            + id
            + "\r\nContent-Type: text/event-stream\r\n"
            + (framed ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n")
            + "\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    ran.incrementAndGet();
    for (int i = 1; i <= EVENTS; i++) {
      Thread.sleep(10);
      String event = event(id, i);
      String chunk =
          framed ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event;
      out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
    }
    if (framed) {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      return;
    }
    record.add("%s has sent the whole answer to %s, which has no length", worker.id(), id);
    connection.close();
  }
}
