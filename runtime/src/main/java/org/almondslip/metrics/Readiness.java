package org.almondslip.metrics;

import java.util.Optional;

/** Reports to the load balancer whether a process accepts work. */
@FunctionalInterface
public interface Readiness {

  /**
   * Returns the reason why the process does not accept work.
   *
   * @return the reason, empty if the process is ready
   */
  Optional<String> unreadyReason();
}
