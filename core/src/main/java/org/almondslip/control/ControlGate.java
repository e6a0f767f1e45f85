package org.almondslip.control;

import java.util.Optional;
import org.almondslip.catalog.CatalogObject.Target.Fencing;
import org.almondslip.time.Clock;

/** Checks whether a control command may be sent to a target under the current lease. */
public final class ControlGate {

  private final ControlLease lease;

  /** Maximum duration of a control command as published in the lease record, in milliseconds. */
  private final long commandMillis;

  private final Clock clock;

  /**
   * Creates a gate.
   *
   * @param lease the lease of the target
   * @param limits the durations of the lease
   * @param clock the source of time
   */
  public ControlGate(ControlLease lease, LeaseLimits limits, Clock clock) {
    this.lease = lease;
    this.commandMillis = limits.commandMillis();
    this.clock = clock;
  }

  /**
   * Returns a permit for a command if the command may be sent now.
   *
   * <p>An engine that checks fencing tokens rejects commands of a former holder, so holding the
   * lease is sufficient. If the engine ignores tokens, the command must end before the lease can
   * expire, and every command of the previous holder must have ended.
   *
   * @param fencing whether the engine checks fencing tokens
   * @param durationMillis the maximum duration of this command, in milliseconds
   * @return the permit, or empty if the command must not be sent now
   */
  public Optional<Permit> permit(Fencing fencing, long durationMillis) {
    if (!lease.isHeld() || durationMillis > commandMillis) {
      return Optional.empty();
    }
    long now = clock.millis();
    boolean checked = fencing == Fencing.CHECKED;
    if (!checked && now < lease.previousCommandsEndAt()) {
      return Optional.empty();
    }
    long reservedMillis = checked ? 0 : durationMillis;
    return Optional.of(new Permit(lease.token(), lease.expiresAt() - reservedMillis))
        .filter(permit -> permit.allows(now));
  }
}
