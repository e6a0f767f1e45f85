package org.almondslip.control;

/**
 * Permission to send one control command.
 *
 * @param token the fencing token to send along
 * @param validUntil the last moment at which the command may leave, by the monotonic clock, in
 *     milliseconds
 */
public record Permit(long token, long validUntil) {

  /**
   * Returns whether the command may leave now. The sender asks again right before it writes the
   * command, because the process may have been paused after the permission was given.
   *
   * @param now the current monotonic time, in milliseconds
   * @return true when it may
   */
  public boolean allows(long now) {
    return now <= validUntil;
  }
}
