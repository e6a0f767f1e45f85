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

/** Cases of {@link PeerSocket}. */
class PeerSocketTest {

  /** Datagrams that wait; the buffer of a socket holds more of this size. */
  private static final int DATAGRAMS = 60;

  /** Turns of the event loop that may be needed; a few since reading and tasks take turns. */
  private static final int MAX_TURNS = 10;

  /** Guards against a late router that reads one report in each long turn of its event loop. */
  @Test
  void busyEventLoopReadsAllWaitingDatagrams() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (DatagramSocket sender = new DatagramSocket()) {
      AtomicInteger read = new AtomicInteger();
      AtomicInteger turns = new AtomicInteger();
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
                  // Each turn takes long, as at a router behind its load.
                  vertx.setPeriodic(
                      1,
                      timer -> {
                        if (read.get() < DATAGRAMS) {
                          turns.incrementAndGet();
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
      assertThat(turns.get()).isLessThan(MAX_TURNS);
    } finally {
      vertx.close();
    }
  }

  /**
   * Sends a datagram.
   *
   * @param sender the socket
   * @param port the port of the receiver
   * @throws IOException when it cannot be sent
   */
  private static void send(DatagramSocket sender, int port) throws IOException {
    sender.send(new DatagramPacket(new byte[100], 100, InetAddress.getByName("127.0.0.1"), port));
  }

  /**
   * Waits for an event.
   *
   * @param latch the event
   */
  private static void await(CountDownLatch latch) {
    await(latch, TimeUnit.SECONDS.toMillis(20));
  }

  /**
   * Waits for an event or a time.
   *
   * @param latch the event
   * @param millis the time in milliseconds
   */
  private static void await(CountDownLatch latch, long millis) {
    try {
      latch.await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
