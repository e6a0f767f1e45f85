package org.almondslip.logging;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while the process drains. The standard log manager removes
 * all handlers in a shutdown hook, which runs concurrently with the hook that drains the process.
 *
 * <p>The system property {@link #PROPERTY} must name this class before the logging library is used.
 * Even a call of a static method of this class is too late, since it initializes the superclass.
 */
public final class DrainLogManager extends LogManager {

  /** Name of the system property that specifies the class of the log manager. */
  public static final String PROPERTY = "java.util.logging.manager";

  /** Whether {@link #reset} is ignored. */
  private volatile boolean handlersKept;

  /** Creates the log manager; called by the logging library. */
  public DrainLogManager() {}

  /**
   * Keeps all handlers until {@link #releaseHandlers} is called.
   *
   * @return false if another class is the log manager, so that handlers cannot be kept
   */
  public static boolean keepHandlers() {
    if (getLogManager() instanceof DrainLogManager manager) {
      manager.handlersKept = true;
      return true;
    }
    return false;
  }

  /** Closes and removes all handlers; called after the last record of the process. */
  public static void releaseHandlers() {
    if (getLogManager() instanceof DrainLogManager manager) {
      manager.handlersKept = false;
      manager.reset();
    }
  }

  @Override
  public void reset() {
    if (!handlersKept) {
      super.reset();
    }
  }
}
