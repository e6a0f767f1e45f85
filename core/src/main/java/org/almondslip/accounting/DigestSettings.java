package org.almondslip.accounting;

/**
 * Timing of the digest waves.
 *
 * @param intervalMillis the time between two waves, in milliseconds
 * @param graceMillis how long a node waits for each level of the tree below it, in milliseconds
 * @param activeMillis how long a flow is included in messages after its last service or backlog, in
 *     milliseconds
 */
public record DigestSettings(long intervalMillis, long graceMillis, long activeMillis) {

  /** Default settings: waves of 1 s, a grace period of 100 ms and an activity time of 10 s. */
  public static final DigestSettings DEFAULT = new DigestSettings(1_000, 100, 10_000);

  /**
   * Returns settings with another interval.
   *
   * @param millis the time between two waves, in milliseconds
   * @return the new settings
   */
  public DigestSettings withIntervalMillis(long millis) {
    return new DigestSettings(millis, graceMillis, activeMillis);
  }

  /**
   * Returns settings with another grace period.
   *
   * @param millis the grace period, in milliseconds
   * @return the new settings
   */
  public DigestSettings withGraceMillis(long millis) {
    return new DigestSettings(intervalMillis, millis, activeMillis);
  }

  /**
   * Returns settings with another activity time.
   *
   * @param millis the activity time, in milliseconds
   * @return the new settings
   */
  public DigestSettings withActiveMillis(long millis) {
    return new DigestSettings(intervalMillis, graceMillis, millis);
  }

  /**
   * Returns the grace period of each level in a tree of the given height. It is shortened so that a
   * wave in which agents do not report ends within half an interval; otherwise the next wave would
   * start before a digest is sent.
   *
   * @param height the number of levels below the root
   * @return the grace period, in milliseconds
   */
  public long graceMillis(int height) {
    return Math.min(graceMillis, intervalMillis / (2L * (height + 1)));
  }
}
