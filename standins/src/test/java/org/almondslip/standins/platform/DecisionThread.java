package org.almondslip.standins.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Single thread that runs decision logic and its callbacks in tests. */
final class DecisionThread implements AutoCloseable {

  /** Limit of a wait; generous, since it only ends a test that has already failed. */
  private static final long WAIT_SECONDS = 30;

  /** The thread. */
  private final ExecutorService executor = Executors.newSingleThreadExecutor();

  /**
   * Returns the thread.
   *
   * @return its executor
   */
  ExecutorService executor() {
    return executor;
  }

  /**
   * Runs an action on the thread and waits for its result.
   *
   * @param action the action
   * @param <T> the type of the result
   * @return the result
   */
  <T> T get(Supplier<T> action) {
    return CompletableFuture.supplyAsync(action, executor)
        .orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  /**
   * Starts a call on the thread and waits for its callback.
   *
   * @param call the call, which gets the callback
   * @param <T> the type of the result
   * @return the result
   */
  <T> T await(Consumer<Consumer<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    executor.execute(() -> call.accept(result::complete));
    return result.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  /**
   * Repeats an action on the thread until it yields true.
   *
   * @param condition the action
   */
  void awaitTrue(Supplier<Boolean> condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!get(condition)) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not become true");
      }
      Thread.yield();
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
