package org.almondslip.router;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that several requests hold together, with a limit. */
final class ByteBudget {

  /** Largest sum, in bytes. */
  private final long limit;

  /** Current sum, in bytes. */
  private final AtomicLong used = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param limit the largest sum, in bytes
   */
  ByteBudget(long limit) {
    this.limit = limit;
  }

  /**
   * Adds bytes.
   *
   * @param bytes the number of bytes
   * @return true when the sum is within the limit
   */
  boolean add(long bytes) {
    return used.addAndGet(bytes) <= limit;
  }

  /**
   * Gives bytes back.
   *
   * @param bytes the number of bytes
   */
  void release(long bytes) {
    used.addAndGet(-bytes);
  }

  /**
   * Returns the sum.
   *
   * @return the number of bytes
   */
  long used() {
    return used.get();
  }
}
