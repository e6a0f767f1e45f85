package org.almondslip.control;

import java.util.Optional;
import org.almondslip.catalog.CatalogObject.Target.Fencing;
import org.almondslip.time.Clock;

/** Decides whether a control command may be sent to a target now. */
public final class ControlGate {

  /** Lease of the target. */
  private final ControlLease lease;

  /** Longest duration of a control command, as the lease tells other agents, in milliseconds. */
  private final long commandMillis;

  /** Source of time. */
  private final Clock clock;

  /**
   * Creates a gate.
   *
   * @param lease the lease of the target
   * @param limits the times of the lease
   * @param clock the source of time
   */
  public ControlGate(ControlLease lease, LeaseLimits limits, Clock clock) {
    this.lease = lease;
    this.commandMillis = limits.commandMillis();
    this.clock = clock;
  }

  /**
   * Decides about a command.
   *
   * <p>An engine that checks the token refuses a command of an old holder, so holding the lease is
   * enough. For an engine that ignores it, the command must end before the lease can expire, and
   * the commands of the holder before must surely have ended.
   *
   * @param fencing what the engine does with an old token
   * @param durationMillis the longest duration of this command
   * @return the permission, or empty when the command must not be sent now
   */
  public Optional<Permit> permit(Fencing fencing, long durationMillis) {
    if (!lease.isHeld() || durationMillis > commandMillis) {
      return Optional.empty();
    }
    long now = clock.millis();
    boolean checked = fencing == Fencing.CHECKED;
    if (!checked && now < lease.quietAt()) {
      return Optional.empty();
    }
    long reserved = checked ? 0 : durationMillis;
    return Optional.of(new Permit(lease.token(), lease.expiresAt() - reserved))
        .filter(permit -> permit.allows(now));
  }
}
