package org.almondslip.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * UNASKED: the body of a request contains the bytes of another one, and the last transfer coding of
 * the request isn't chunked. Counts the requests that run though no consumer has sent them.
 */
public final class HiddenRequest extends Case {

  private static final String[] CODINGS = {"gzip", "identity", "xchunked"};

  private final Set<String> sent = ConcurrentHashMap.newKeySet();

  private final AtomicInteger unasked = new AtomicInteger();

  private final AtomicInteger changed = new AtomicInteger();

  private HiddenRequest(Path folder) throws IOException {
    super(folder);
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new HiddenRequest(Path.of(args[0])));
  }

  @Override
  void prepare() throws Exception {
    addWorker("i-order-1", "orders", this::handle);
    addWorker("i-order-2", "orders", this::handle);
    putManifest(1, tenant("one", "k-one"), route("orders", "non_idempotent", 1));
  }

  @Override
  int play() throws Exception {
    int served = 0;
    for (int i = 0; i < 12; i++) {
      String hidden =
          "POST /orders/hidden HTTP/1.1\r\nHost: shop.example\r\nAlmondslip-Attempt-Id: hidden-"
              + i
              + "\r\nAlmondslip-Deadline-Ms: 3000\r\n"
              + key("k-one")
              + "Content-Length: 0\r\n\r\n";
      String coding = CODINGS[i % CODINGS.length];
      String framing =
          trouble
              ? "Transfer-Encoding: " + coding + "\r\n"
              : "Content-Length: " + hidden.length() + "\r\n";
      String id = "outer-" + i;
      sent.add(id);
      record.add("consumer sends %s with %s", id, framing.trim());
      served += send(routers.get(i % 2).port(), id, framing, hidden) ? 1 : 0;
    }
    record.add(
        "%d requests ran that no consumer has sent, %d with another body: UNASKED %s",
        unasked.get(), changed.get(), unasked.get() > 0 ? "is broken" : "holds");
    if (!trouble && served < 12) {
      return NOT_RUN;
    }
    return unasked.get() > 0 ? BROKEN : HELD;
  }

  /** Sends one request and reads all that comes back. */
  private boolean send(int port, String id, String framing, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(700);
      String head =
          "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAlmondslip-Attempt-Id: "
              + id
              + "\r\nAlmondslip-Deadline-Ms: 3000\r\n"
              + key("k-one")
              + framing
              + "\r\n";
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      boolean served = false;
      while (true) {
        Consumer.Answer answer = Consumer.read(in);
        if (answer.status() == 0) {
          record.add("the channel of %s is closed", id);
          return served;
        }
        record.add("the channel of %s bears %d %s", id, answer.status(), answer.body());
        served |= answer.status() == 200;
        if (!trouble) {
          return served;
        }
      }
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      record.add("the channel of %s fails: %s", id, e);
      return false;
    }
  }

  private void handle(Worker worker, Http.Head request, byte[] body, Socket connection)
      throws IOException {
    String id = request.get("almondslip-attempt-id");
    record.add("%s runs %s with a body of %d bytes", worker.id(), id, body.length);
    if (!sent.contains(id)) {
      unasked.incrementAndGet();
    } else if (body.length == 0) {
      changed.incrementAndGet();
    }
    answerDone(connection, request);
  }
}
