package org.almondslip.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * CONFIG: consumers of a tenant upload photos at once, first as many as usual, then 9.4 times as
 * many. Counts the small requests that have no answer half a second after the time limit of their
 * route, long after the uploads.
 */
public final class Uploads extends Case {

  /** Photos that the tenant uploads at the same moment at one router in usual traffic. */
  private static final int USUAL = 30;

  /** Largest factor of the disturbance hot_tenant in the small sites. */
  private static final double FACTOR = 9.4;

  private static final int PHOTO_BYTES = 1_000_000;

  /** Time limit of the consumers, after which they leave. */
  private static final int LIMIT_MILLIS = 3_000;

  /** Time limit of the routes. */
  private static final int ROUTE_MILLIS = 3_000;

  /** Time after a burst for which a machine may count as slowed. */
  private static final long CHOKED_MILLIS = 5_000;

  private static final int REQUESTS = 40;

  /** Time after which the case no longer waits for the routers. */
  private static final long END_MILLIS = 85_000;

  private final byte[] photo = new byte[PHOTO_BYTES];

  private final AtomicInteger uploaded = new AtomicInteger();

  private final AtomicInteger unanswered = new AtomicInteger();

  private final AtomicInteger overdue = new AtomicInteger();

  private final AtomicInteger answered = new AtomicInteger();

  private Uploads(Path folder) throws IOException {
    super(folder);
    Arrays.fill(photo, (byte) 'p');
  }

  /** Runs the case whose folder is given. */
  public static void main(String[] args) {
    exit(() -> new Uploads(Path.of(args[0])));
  }

  @Override
  void prepare() throws Exception {
    for (int i = 1; i <= 4; i++) {
      addWorker("i-photo-" + i, "orders", this::handle);
    }
    putManifest(
        1,
        tenant("one", "k-one"),
        route("photos", "non_idempotent", 1),
        route("orders", "non_idempotent", 1));
  }

  @Override
  int play() throws Exception {
    upload(USUAL, "usual");
    askAll("between");
    if (answered.get() < REQUESTS) {
      record.add("usual traffic isn't served");
      return NOT_RUN;
    }
    upload(trouble ? (int) (USUAL * FACTOR) : USUAL, "many");
    Thread.sleep(CHOKED_MILLIS + CONTACT_MILLIS);
    record.add("the machines are in touch again; the routers say ready: %s", ready());
    askAll("after");
    record.add(
        "%d of %d requests were answered in time; %d were unanswered at timeout_ms, of which %d half"
            + " a second later: CONFIG %s",
        answered.get(),
        REQUESTS,
        unanswered.get(),
        overdue.get(),
        broken() ? "is broken" : "holds");
    boolean broken = broken();
    while (broken && record.millis() < END_MILLIS && ready().contains(false)) {
      Thread.sleep(1_000);
    }
    record.add("the routers say ready: %s", ready());
    return broken ? BROKEN : HELD;
  }

  /** Sends small requests to both routers by turns, ten in a second. */
  private void askAll(String name) throws InterruptedException {
    answered.set(0);
    unanswered.set(0);
    overdue.set(0);
    List<Thread> askers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      int number = i;
      Thread asker = new Thread(() -> ask(routers.get(number % 2).port(), name + "-" + number));
      asker.start();
      askers.add(asker);
      Thread.sleep(100);
    }
    for (Thread asker : askers) {
      asker.join();
    }
  }

  /** More than half of the unanswered requests, and eight or more as in the other lines. */
  private boolean broken() {
    return overdue.get() >= 8 && overdue.get() * 2 > unanswered.get();
  }

  private List<Boolean> ready() {
    return routers.stream().map(Router::isReady).toList();
  }

  /** Lets so many consumers of each router upload a photo, and waits until all have left. */
  private void upload(int count, String name) throws InterruptedException {
    uploaded.set(0);
    record.add("%d consumers of each router upload a photo of %d bytes", count, PHOTO_BYTES);
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < count * routers.size(); i++) {
      int number = i;
      Thread consumer =
          new Thread(() -> uploadPhoto(routers.get(number % 2).port(), name + "-" + number));
      consumer.start();
      consumers.add(consumer);
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
    record.add(
        "all consumers have left, %d with an answer; the routers say ready: %s",
        uploaded.get(), ready());
  }

  private void uploadPhoto(int port, String id) {
    long until = System.nanoTime() + LIMIT_MILLIS * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      // A consumer leaves at its time limit, also while it writes.
      threads.execute(() -> closeAt(socket, until));
      socket.getOutputStream().write(head("photos", id, PHOTO_BYTES));
      socket.getOutputStream().write(photo);
      if (Consumer.read(new BufferedInputStream(socket.getInputStream())).status() > 0) {
        uploaded.incrementAndGet();
      }
    } catch (IOException e) {
      // It has left, or the router has closed the channel.
    }
  }

  private static void closeAt(Socket socket, long until) {
    try {
      Thread.sleep(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      socket.close();
    } catch (IOException | InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static byte[] head(String path, String id, int length) {
    String head =
        "POST /"
            + path
            + "/1 HTTP/1.1\r\nHost: shop.example\r\nAlmondslip-Attempt-Id: "
            + id
            + "\r\nAlmondslip-Deadline-Ms: "
            + LIMIT_MILLIS
            + "\r\n"
            + key("k-one")
            + "Content-Length: "
            + length
            + "\r\n\r\n";
    return head.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Sends a small request on a channel of its own and waits for the answer. */
  private void ask(int port, String id) {
    long sentAt = record.millis();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.getOutputStream().write(head("orders", id, 0));
      socket.setSoTimeout(ROUTE_MILLIS + 500);
      Consumer.Answer answer = Consumer.read(new BufferedInputStream(socket.getInputStream()));
      long millis = record.millis() - sentAt;
      if (answer.status() != 200) {
        record.add("consumer gets %d %s for %s", answer.status(), answer.failure(), id);
      }
      answered.addAndGet(answer.status() > 0 && millis <= ROUTE_MILLIS ? 1 : 0);
      unanswered.addAndGet(millis > ROUTE_MILLIS ? 1 : 0);
    } catch (SocketTimeoutException e) {
      record.add("%s, sent at %.3f s, has no answer after 3.5 s", id, sentAt / 1000.0);
      unanswered.incrementAndGet();
      overdue.incrementAndGet();
    } catch (IOException e) {
      record.add("the channel of %s fails: %s", id, e);
    }
  }

  private void handle(Worker worker, Http.Head request, byte[] body, Socket connection)
      throws IOException, InterruptedException {
    Thread.sleep(50);
    answerDone(connection, request);
  }
}
