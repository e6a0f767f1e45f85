package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of {@link OutboundBuffer} and {@link ResponseMemory} with callers that read slowly. */
@Timeout(90)
class SlowReaderTest {

  /** Memory of all bodies in bytes. */
  private static final int MEMORY = 4 << 20;

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Size of the receive buffer of slow callers, so that the kernel holds little. */
  private static final int RECEIVE_BYTES = 4_096;

  private final GatewayHarness harness = new GatewayHarness();

  private final List<Socket> slowCallers = new ArrayList<>();

  @AfterEach
  void close() throws IOException {
    for (Socket socket : slowCallers) {
      socket.close();
    }
    harness.close();
  }

  /** Guards against a target that waits for a slow caller although the router has memory. */
  @Test
  void targetIsReadOnWhileThereIsMemory() throws Exception {
    AtomicBoolean written = new AtomicBoolean();
    String event = event(16 << 10);
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, STREAM_HEAD);
              for (int i = 0; i < 400; i++) {
                ScriptedTarget.write(socket, GatewayHarness.chunk(event));
              }
              ScriptedTarget.write(socket, "0\r\n\r\n");
              written.set(true);
            });
    harness.setBodyMemory(64 << 20, 65_536);
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, target);
    final Socket slow = slowCaller(gateway, "r1");
    GatewayHarness.await(written::get);
    GatewayHarness.await(() -> gateway.responseMemory().heldBytes() > 1 << 20);
    assertThat(gateway.responseMemory().pausedTargets()).isZero();
    // Everything that was answered reaches the caller once it reads.
    String response = readAll(slow);
    assertThat(response).endsWith("0\r\n\r\n");
    assertThat(response.split("data: ", -1)).hasSize(401);
    GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
    assertThat(gateway.responseMemory().heldBytes()).isZero();
  }

  /** Guards against accounting or buffering of responses that the caller reads at once. */
  @Test
  void healthyResponseHoldsNoMemory() throws Exception {
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, STREAM_HEAD);
              for (int i = 0; i < 100; i++) {
                ScriptedTarget.write(socket, GatewayHarness.chunk(event(100)));
                if (i % 10 == 0) {
                  GatewayHarness.sleep(1);
                }
              }
              ScriptedTarget.write(socket, "0\r\n\r\n");
            });
    // Nothing at all may be held: each reservation would cut off the caller.
    harness.setBodyMemory(1_000, 65_536);
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, target);
    String response = GatewayHarness.send(gateway, GatewayHarness.request(""));
    assertThat(response).endsWith("0\r\n\r\n");
    assertThat(gateway.responseMemory().cutOffs()).isEmpty();
  }

  /**
   * Guards against memory without bound, against slow callers that take the memory of healthy ones,
   * and against a response that looks complete although its caller was cut off.
   */
  @Test
  void slowestCallersAreCutOffFirst() throws Exception {
    final AtomicInteger broken = new AtomicInteger();
    final AtomicBoolean stopping = new AtomicBoolean();
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              try {
                ScriptedTarget.write(socket, STREAM_HEAD);
                // Slow callers get streams that end with the test, healthy ones get short ones.
                boolean endless = number < 200;
                for (int i = 0; endless ? !stopping.get() : i < 50; i++) {
                  ScriptedTarget.write(socket, GatewayHarness.chunk(event(8 << 10)));
                  GatewayHarness.sleep(1);
                }
                ScriptedTarget.write(socket, "0\r\n\r\n");
              } catch (IOException e) {
                broken.incrementAndGet();
                throw e;
              }
            });
    harness.setBodyMemory(MEMORY, 65_536);
    ScriptedTarget[] targets = new ScriptedTarget[60];
    java.util.Arrays.fill(targets, target);
    Gateway gateway = harness.gateway(RouteKind.STREAMING, 1, targets);
    for (int i = 0; i < 200; i++) {
      slowCaller(gateway, "r1");
    }
    GatewayHarness.await(() -> target.requests().size() == 200);
    Thread reader = new Thread(this::readBytePerSecond);
    reader.setDaemon(true);
    reader.start();
    for (int i = 0; i < 40; i++) {
      long startedAt = System.nanoTime();
      String response = GatewayHarness.send(gateway, GatewayHarness.request(""));
      assertThat(response).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
      assertThat(response.split("data: ", -1)).hasSize(51);
      assertThat(System.nanoTime() - startedAt).isLessThan(5_000_000_000L);
      assertThat(gateway.bodyMemory().used()).isLessThanOrEqualTo(MEMORY);
      GatewayHarness.sleep(50);
    }
    long cutOffs =
        gateway.responseMemory().cutOffs().values().stream().mapToLong(Long::longValue).sum();
    assertThat(cutOffs).isPositive();
    // The requests of callers that were cut off have been cancelled at the target.
    GatewayHarness.await(() -> broken.get() >= cutOffs / 2);
    stopping.set(true);
    reader.interrupt();
    reader.join();
    int incomplete = 0;
    for (Socket slow : slowCallers) {
      slow.setSoTimeout(2_000);
      incomplete += endsBroken(slow) ? 1 : 0;
      slow.close();
    }
    assertThat(incomplete).isGreaterThanOrEqualTo((int) cutOffs);
    GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
    assertThat(gateway.responseMemory().pausedTargets()).isZero();
  }

  /** Guards against large complete responses that are held, or copied, without bound. */
  @Test
  void largeResponsesToSlowCallersAreBounded() throws Exception {
    // The kernel may hold up to 4 MiB of each response.
    int memory = 32 << 20;
    String body = "x".repeat(6_000_000);
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 6000000\r\n\r\n"
                        + body));
    harness.setBodyMemory(memory, 65_536);
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 2, target);
    for (int i = 0; i < 15; i++) {
      slowCaller(gateway, "r1");
      GatewayHarness.await(() -> target.requests().size() == slowCallers.size());
    }
    for (int i = 0; i < 5; i++) {
      String response = GatewayHarness.send(gateway, GatewayHarness.request(""));
      assertThat(response).startsWith("HTTP/1.1 200").endsWith(body);
      assertThat(gateway.bodyMemory().used()).isLessThanOrEqualTo(memory);
    }
    GatewayHarness.await(() -> !gateway.responseMemory().cutOffs().isEmpty());
    assertThat(gateway.responseMemory().heldBytes()).isPositive();
    for (Socket slow : slowCallers) {
      slow.close();
    }
    GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
  }

  /** Guards against a caller that reads nothing and holds memory for ever. */
  @Test
  void callerThatReadsNothingIsCutOffAfterIdleTimeout() throws Exception {
    String body = "x".repeat(8_000_000);
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 8000000\r\n\r\n"
                        + body));
    harness.setBodyMemory(64 << 20, 65_536);
    harness.setIdleTimeoutMillis(1_000);
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    final Socket slow = slowCaller(gateway, "r1");
    GatewayHarness.await(() -> gateway.responseMemory().heldBytes() > 0);
    GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
    assertThat(gateway.responseMemory().cutOffs())
        .containsEntry(ResponseMemory.CutOffReason.STALLED, 1L);
    assertThat(endsBroken(slow)).isTrue();
  }

  /** Guards against an upload that is refused although memory becomes free shortly after. */
  @Test
  void uploadWaitsForMemory() throws Exception {
    ScriptedTarget target =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok"));
    harness.setBodyMemory(MEMORY, MEMORY);
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, target);
    // Holds three fifths of the memory, so that the second body waits and would be refused.
    int size = MEMORY / 5 * 3;
    Socket first = new Socket("127.0.0.1", gateway.port());
    slowCallers.add(first);
    ScriptedTarget.write(first, upload(size) + "x".repeat(size - 1));
    GatewayHarness.await(() -> gateway.bodyMemory().used() == size - 1);
    Socket second = new Socket("127.0.0.1", gateway.port());
    slowCallers.add(second);
    Thread sender =
        new Thread(
            () -> {
              try {
                ScriptedTarget.write(second, upload(size) + "x".repeat(size));
              } catch (IOException e) {
                // The response shows what has become of the request.
              }
            });
    sender.start();
    GatewayHarness.sleep(300);
    ScriptedTarget.write(first, "x");
    assertThat(readAll(first)).startsWith("HTTP/1.1 200");
    assertThat(readAll(second)).startsWith("HTTP/1.1 200");
    sender.join();
    GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
  }

  /** Guards against targets that do not read and thereby take more memory than the bodies. */
  @Test
  void targetsThatDoNotReadBodiesHoldOnlyTheirBodies() throws Exception {
    final long directBefore = directMemoryBytes();
    try (ScriptedTarget deaf = ScriptedTarget.deaf()) {
      harness.setBodyMemory(64 << 20, 4 << 20);
      Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, deaf, deaf);
      int size = 3 << 20;
      for (int i = 0; i < 8; i++) {
        Socket caller = new Socket("127.0.0.1", gateway.port());
        slowCallers.add(caller);
        ScriptedTarget.write(
            caller, upload(size).replace("id: r1", "deadline: 2000\r\nid: r1") + "x".repeat(size));
      }
      GatewayHarness.await(() -> gateway.bodyMemory().used() == 8L * size);
      GatewayHarness.sleep(200);
      assertThat(directMemoryBytes()).isLessThan(directBefore + 8L * size / 4);
      for (Socket caller : slowCallers) {
        assertThat(readAll(caller)).startsWith("HTTP/1.1 504");
      }
      GatewayHarness.await(() -> gateway.bodyMemory().used() == 0);
    }
  }

  /**
   * Guards against a discarded connection that stays open, with its unsent data, until a target
   * that does not read has received everything.
   */
  @Test
  void discardedConnectionWithUnsentDataIsClosedAtOnce() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (ScriptedTarget deaf = ScriptedTarget.deaf();
        TargetConnectionPool pool = new TargetConnectionPool(vertx, harness.clock())) {
      CountDownLatch closed = new CountDownLatch(1);
      RequestOptions options =
          new RequestOptions().setMethod(HttpMethod.POST).setURI("/").setHost("127.0.0.1");
      pool.connect(deaf.record("t"))
          .onSuccess(
              lease ->
                  lease
                      .request(options)
                      .onSuccess(
                          request -> {
                            request.response().onFailure(failure -> closed.countDown());
                            RequestBodyWriter.write(request, Buffer.buffer(new byte[16 << 20]));
                            vertx.setTimer(300, ignored -> lease.discard());
                          }));
      assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * Guards against a connection that is used again although the target has not read the body of its
   * last request, so that the next request waits behind the body.
   */
  @Test
  void connectionWithIncompleteRequestIsNotReused() throws Exception {
    try (ScriptedTarget early =
        ScriptedTarget.early(
            (number, socket) -> {
              ScriptedTarget.write(
                  socket, "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\nContent-Length: 2\r\n\r\nok");
              if (number == 0) {
                GatewayHarness.sleep(5_000);
              }
            })) {
      int size = 16 << 20;
      harness.setBodyMemory(64 << 20, size);
      Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 1, early);
      Socket caller = new Socket("127.0.0.1", gateway.port());
      slowCallers.add(caller);
      ScriptedTarget.write(caller, upload(size) + "x".repeat(size));
      assertThat(readAll(caller)).startsWith("HTTP/1.1 200");
      long startedAt = System.nanoTime();
      assertThat(GatewayHarness.send(gateway, GatewayHarness.request("")))
          .startsWith("HTTP/1.1 200");
      assertThat(System.nanoTime() - startedAt).isLessThan(2_000_000_000L);
      assertThat(early.connections()).isEqualTo(2);
    }
  }

  /** Returns the memory that the write queues of all connections of this process use, in bytes. */
  private static long directMemoryBytes() {
    return io.netty.util.internal.PlatformDependent.usedDirectMemory();
  }

  private static String upload(int size) {
    return GatewayHarness.request("")
        .replace("Content-Length: 2\r\n\r\nhi", "Content-Length: " + size + "\r\n\r\n");
  }

  private static String event(int bytes) {
    return "id: 1\ndata: " + "x".repeat(bytes) + "\n\n";
  }

  /** Sends a request whose response is not read beyond what the kernel holds. */
  private Socket slowCaller(Gateway gateway, String id) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BYTES);
    socket.connect(new InetSocketAddress("127.0.0.1", gateway.port()));
    ScriptedTarget.write(socket, GatewayHarness.request("").replace("id: r1", "id: " + id));
    slowCallers.add(socket);
    return socket;
  }

  /** Reads a byte of each slow caller a second, until this thread is interrupted. */
  private void readBytePerSecond() {
    while (!Thread.currentThread().isInterrupted()) {
      for (Socket socket : slowCallers) {
        try {
          if (socket.getInputStream().available() > 0) {
            socket.getInputStream().read();
          }
        } catch (IOException e) {
          // The caller was cut off.
        }
      }
      GatewayHarness.sleep(1_000);
    }
  }

  /** Returns whether a response ends with a reset, or otherwise without its last chunk. */
  private static boolean endsBroken(Socket socket) {
    try {
      return !readAll(socket).endsWith("0\r\n\r\n");
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static String readAll(Socket socket) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    in.transferTo(out);
    return out.toString(StandardCharsets.ISO_8859_1);
  }
}
