package org.almondslip.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Heap that an object graph takes, from the heap in use before and after it is built. */
final class HeapUse {

  /**
   * Collections before each reading, so that references cleared by one are collected by the next.
   */
  private static final int COLLECTIONS = 3;

  /** Not instantiable. */
  private HeapUse() {}

  /**
   * Builds an object graph and measures it.
   *
   * @param graph builds the objects and returns what keeps them reachable
   * @return the bytes
   */
  static double of(Supplier<?> graph) {
    long before = inUse();
    Object kept = graph.get();
    long after = inUse();
    Reference.reachabilityFence(kept);
    return after - before;
  }

  /**
   * Returns the heap in use after collections.
   *
   * @return the bytes
   */
  private static long inUse() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
