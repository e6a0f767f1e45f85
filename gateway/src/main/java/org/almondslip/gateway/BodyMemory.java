package org.almondslip.gateway;

import java.util.function.LongConsumer;

/**
 * Bounds the memory of all bodies that a router holds at the same time.
 *
 * <p>Each body has a limit of its own, but the sum over all connections can exceed the heap. Large
 * bodies leave a part of the capacity to small ones, so that uploads that never end do not block
 * other callers.
 */
final class BodyMemory {

  /**
   * Fraction of the heap that bodies may use. A growing buffer needs up to three times the bytes it
   * contains while it is copied, and the rest of the heap holds connections and queues.
   */
  private static final double HEAP_FRACTION = 0.125;

  /** Size in bytes above which a body is large. */
  static final int LARGE_BODY_BYTES = 64 << 10;

  /** Fraction of the capacity that large bodies may use. */
  static final double LARGE_BODY_FRACTION = 0.75;

  private final long capacity;

  private long used;

  private long refused;

  /** Makes room for a number of bytes if it can. */
  private LongConsumer makeRoom = bytes -> {};

  /**
   * Creates an unused memory.
   *
   * @param capacity the maximum size of all bodies in bytes
   */
  BodyMemory(long capacity) {
    this.capacity = capacity;
  }

  /** Returns a memory whose capacity is a fraction of the heap of this process. */
  static BodyMemory ofHeap() {
    return new BodyMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION));
  }

  /** Memory of one body. */
  final class Reservation {

    private long bytes;

    private boolean released;

    private Reservation() {}

    /**
     * Extends the reservation.
     *
     * @param more the number of additional bytes
     * @return whether the memory is available; the reservation is unchanged when it is not
     */
    boolean tryExtend(int more) {
      boolean large = bytes + more > LARGE_BODY_BYTES;
      double limit = large ? capacity * LARGE_BODY_FRACTION : capacity;
      if (!released && used + more > limit) {
        makeRoom.accept((long) Math.ceil(used + more - limit));
      }
      if (released || used + more > limit) {
        refused++;
        return false;
      }
      bytes += more;
      used += more;
      return true;
    }

    /**
     * Changes the size of the reservation.
     *
     * @param size the new size in bytes
     * @return whether the memory is available; the reservation is unchanged when it is not
     */
    boolean tryResize(int size) {
      if (size > bytes) {
        return tryExtend((int) (size - bytes));
      }
      used -= bytes - size;
      bytes = size;
      return true;
    }

    /**
     * Takes the memory of another reservation over, which is released thereby. Never fails, since
     * the memory in use stays the same.
     *
     * @param other the reservation of the same memory
     * @return the number of bytes
     */
    int takeOver(Reservation other) {
      final long taken = other.bytes;
      bytes += taken;
      other.bytes = 0;
      other.released = true;
      return (int) taken;
    }

    /** Releases the memory. Has no effect after the first call. */
    void release() {
      if (!released) {
        released = true;
        used -= bytes;
        bytes = 0;
      }
    }
  }

  /**
   * Sets what makes room before a body is refused.
   *
   * @param room receives the number of missing bytes
   */
  void onShortage(LongConsumer room) {
    makeRoom = room;
  }

  /** Returns an empty reservation. */
  Reservation reserve() {
    return new Reservation();
  }

  /** Returns the reserved bytes. */
  long used() {
    return used;
  }

  /** Returns the maximum size of all bodies in bytes. */
  long capacity() {
    return capacity;
  }

  /** Returns how often a body was refused for lack of memory. */
  long refused() {
    return refused;
  }
}
