package org.almondslip.control;

/**
 * Permission to send one control command.
 *
 * @param token the fencing token to send along
 * @param validUntil the latest monotonic time at which the command may be sent, in milliseconds
 */
public record Permit(long token, long validUntil) {

  /**
   * Returns whether the command may be sent now. The sender checks again immediately before it
   * writes the command because the process may have been paused since the permit was issued.
   *
   * @param now the current monotonic time, in milliseconds
   * @return true if the permit is still valid
   */
  public boolean allows(long now) {
    return now <= validUntil;
  }
}
