package org.almondslip.logging;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while the process drains. The standard one removes all
 * handlers in a shutdown hook of its own, which runs at the same time as the hook that drains.
 *
 * <p>The system property {@link #PROPERTY} must name this class before any use of the library. Even
 * a call of a static method here is too late, since it initialises the superclass.
 */
public final class DrainLogManager extends LogManager {

  /** System property that names the class of the log manager. */
  public static final String PROPERTY = "java.util.logging.manager";

  /** Whether handlers are kept. */
  private volatile boolean kept;

  /** Creates the log manager; called by the logging library. */
  public DrainLogManager() {}

  /**
   * Keeps all handlers until they are released.
   *
   * @return false when another class is the log manager, so that handlers cannot be kept
   */
  public static boolean keepHandlers() {
    if (getLogManager() instanceof DrainLogManager manager) {
      manager.kept = true;
      return true;
    }
    return false;
  }

  /** Flushes and removes all handlers after the last record of the process. */
  public static void releaseHandlers() {
    if (getLogManager() instanceof DrainLogManager manager) {
      manager.kept = false;
      manager.reset();
    }
  }

  @Override
  public void reset() {
    if (!kept) {
      super.reset();
    }
  }
}
