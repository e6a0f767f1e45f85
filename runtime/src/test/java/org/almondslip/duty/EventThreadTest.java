package org.almondslip.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

class EventThreadTest {

  private static final int TIMEOUT_SECONDS = 30;

  /**
   * Guards against new requests that fill the queue, so that responses to running requests are
   * lost.
   */
  @Test
  void fullQueueRefusesOffersButAcceptsPuts() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch allHandled = new CountDownLatch(17);
    List<Integer> handled = new ArrayList<>();
    try (EventThread<Integer> eventThread =
        create(
            16,
            event -> {
              await(release);
              handled.add(event);
              allHandled.countDown();
            })) {
      int accepted = 0;
      while (eventThread.offer(accepted)) {
        accepted++;
      }
      assertThat(accepted).isEqualTo(12);
      for (int i = accepted; i < 16; i++) {
        eventThread.put(i);
      }
      assertThat(eventThread.offer(99)).isFalse();
      eventThread.start();
      Thread late = new Thread(() -> eventThread.put(16));
      late.start();
      release.countDown();
      assertThat(allHandled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(handled).hasSize(17).startsWith(0, 1, 2).contains(16);
    }
  }

  /** Guards against an exception of one event that ends the thread for all later events. */
  @Test
  void exceptionInOneEventDoesNotEndTheThread() throws Exception {
    CountDownLatch second = new CountDownLatch(1);
    try (EventThread<Integer> eventThread =
        create(
            16,
            event -> {
              if (event == 1) {
                throw new IllegalStateException("failure of the first event");
              }
              second.countDown();
            })) {
      eventThread.start();
      eventThread.put(1);
      eventThread.put(2);
      assertThat(second.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }

  private static EventThread<Integer> create(
      int capacity, java.util.function.Consumer<Integer> work) {
    return new EventThread<>(
        "test",
        capacity,
        10,
        Clock.Standard.SYSTEM,
        new EventThread.Handler<>() {
          @Override
          public void onEvent(Integer event) {
            work.accept(event);
          }

          @Override
          public void onTick() {}
        });
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
