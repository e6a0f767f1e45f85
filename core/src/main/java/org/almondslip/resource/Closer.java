package org.almondslip.resource;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <p>Every resource is closed even if closing another one fails. The first failure is thrown at the
 * end, with later failures added as suppressed exceptions.
 */
public final class Closer implements AutoCloseable {

  /** Open resources, the most recently registered first. */
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /**
   * Registers a resource to be closed with this closer.
   *
   * @param resource the resource
   * @param <T> the type of the resource
   * @return the resource
   */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /**
   * Closes all registered resources.
   *
   * @throws IllegalStateException if closing a resource fails, with that failure as the cause
   */
  @Override
  public synchronized void close() {
    RuntimeException failure = null;
    while (!resources.isEmpty()) {
      try {
        resources.pop().close();
      } catch (Exception e) {
        if (failure == null) {
          failure = new IllegalStateException("failed to close a resource", e);
        } else {
          failure.addSuppressed(e);
        }
      }
    }
    if (failure != null) {
      throw failure;
    }
  }
}
