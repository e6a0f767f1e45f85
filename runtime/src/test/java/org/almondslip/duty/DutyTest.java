package org.almondslip.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.almondslip.time.Clock;
import org.junit.jupiter.api.Test;

class DutyTest {

  private static final int PATIENCE_SECONDS = 30;

  /** Guards against new work that fills the ring so that answers to running work are lost. */
  @Test
  void fullRingRefusesNewWorkButTakesAnswers() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch all = new CountDownLatch(17);
    List<Integer> handled = new ArrayList<>();
    try (Duty<Integer> duty =
        duty(
            16,
            event -> {
              await(blocked);
              handled.add(event);
              all.countDown();
            })) {
      int accepted = 0;
      while (duty.offer(accepted)) {
        accepted++;
      }
      assertThat(accepted).isEqualTo(12);
      for (int i = accepted; i < 16; i++) {
        duty.put(i);
      }
      assertThat(duty.offer(99)).isFalse();
      duty.start();
      Thread late = new Thread(() -> duty.put(16));
      late.start();
      blocked.countDown();
      assertThat(all.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(handled).hasSize(17).startsWith(0, 1, 2).contains(16);
    }
  }

  /** Guards against one faulty event that ends the decision thread. */
  @Test
  void failureInOneEventDoesNotEndTheThread() throws Exception {
    CountDownLatch second = new CountDownLatch(1);
    try (Duty<Integer> duty =
        duty(
            16,
            event -> {
              if (event == 1) {
                throw new IllegalStateException("fault in the first event");
              }
              second.countDown();
            })) {
      duty.start();
      duty.put(1);
      duty.put(2);
      assertThat(second.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }

  private static Duty<Integer> duty(int capacity, java.util.function.Consumer<Integer> work) {
    return new Duty<>(
        "test",
        capacity,
        10,
        Clock.Standard.SYSTEM,
        new Duty.Handler<>() {
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
      latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
