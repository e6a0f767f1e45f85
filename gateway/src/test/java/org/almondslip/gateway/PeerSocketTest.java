package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.almondslip.directory.Address;
import org.junit.jupiter.api.Test;

/** Tests of {@link PeerSocket}. */
class PeerSocketTest {

  /** Number of queued datagrams; the receive buffer holds more datagrams of this size. */
  private static final int DATAGRAMS = 60;

  /** Allowed event loop iterations; more than one, since reads and timers alternate. */
  private static final int MAX_ITERATIONS = 10;

  /** Guards against a router that reads only one report per long event loop iteration. */
  @Test
  void busyEventLoopReadsAllQueuedDatagrams() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (DatagramSocket sender = new DatagramSocket()) {
      AtomicInteger read = new AtomicInteger();
      AtomicInteger iterations = new AtomicInteger();
      CompletableFuture<PeerSocket> opened = new CompletableFuture<>();
      CountDownLatch blocked = new CountDownLatch(1);
      CountDownLatch sent = new CountDownLatch(1);
      CountDownLatch all = new CountDownLatch(1);
      vertx.runOnContext(
          ignored -> {
            opened.complete(
                new PeerSocket(
                    vertx,
                    new Address("127.0.0.1", 0),
                    (data, host) -> {
                      if (read.incrementAndGet() == DATAGRAMS) {
                        all.countDown();
                      }
                    }));
            vertx.setTimer(
                20,
                id -> {
                  blocked.countDown();
                  await(sent);
                  // Makes each iteration long, as in an overloaded router.
                  vertx.setPeriodic(
                      1,
                      timer -> {
                        if (read.get() < DATAGRAMS) {
                          iterations.incrementAndGet();
                          await(new CountDownLatch(1), 5);
                        }
                      });
                });
          });
      PeerSocket socket = opened.get(20, TimeUnit.SECONDS);
      await(blocked);
      for (int i = 0; i < DATAGRAMS; i++) {
        send(sender, socket.port());
      }
      sent.countDown();
      assertThat(all.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(iterations.get()).isLessThan(MAX_ITERATIONS);
    } finally {
      vertx.close();
    }
  }

  private static void send(DatagramSocket sender, int port) throws IOException {
    sender.send(new DatagramPacket(new byte[100], 100, InetAddress.getByName("127.0.0.1"), port));
  }

  private static void await(CountDownLatch latch) {
    await(latch, TimeUnit.SECONDS.toMillis(20));
  }

  /** Waits until a latch opens or a timeout in milliseconds expires. */
  private static void await(CountDownLatch latch, long timeoutMillis) {
    try {
      latch.await(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
