package org.almondslip.metrics;

import java.util.Optional;

/** Whether a process takes work, as its readiness address tells the balancer. */
@FunctionalInterface
public interface Readiness {

  /**
   * Returns why the process takes no work.
   *
   * @return the reason, empty when the process is ready
   */
  Optional<String> unreadyReason();
}
