package org.almondslip.resource;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in the reverse order of their registration.
 *
 * <p>Every resource is closed even when closing another one fails; the first failure is thrown at
 * the end with the later ones suppressed.
 */
public final class Closer implements AutoCloseable {

  /** Resources that are still open, the last one registered first. */
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /**
   * Takes over a resource.
   *
   * @param resource the resource to close later
   * @param <T> the type of the resource
   * @return the resource
   */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  @Override
  public synchronized void close() {
    RuntimeException failure = null;
    while (!resources.isEmpty()) {
      try {
        resources.pop().close();
      } catch (Exception e) {
        if (failure == null) {
          failure = new IllegalStateException("a resource could not be closed", e);
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
