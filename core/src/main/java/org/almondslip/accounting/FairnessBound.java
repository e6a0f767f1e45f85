package org.almondslip.accounting;

/**
 * Upper bound of the service gap between two backlogged flows of a pool with the same reach. The
 * derivation is in docs/fairness.md.
 *
 * @param agents the number of agents that reach the pool
 * @param slots the number of slots of the pool
 * @param largestCostMillis the slot time of the largest request, in milliseconds
 * @param smallestShare the smallest share of an organisation
 * @param intervalMillis the time between two digests, in milliseconds
 * @param delayMillis the time from the last charge that a digest contains until all agents use the
 *     digest, in milliseconds
 * @param localitySlackMillis the amount added to the account of spill offers, in milliseconds
 */
public record FairnessBound(
    int agents,
    int slots,
    long largestCostMillis,
    int smallestShare,
    long intervalMillis,
    long delayMillis,
    long localitySlackMillis) {

  /**
   * Computes the delay of digests from the timing of the waves.
   *
   * @param settings the timing of the waves
   * @param height the number of levels below the root
   * @param lostWaves the number of consecutive waves that an agent may miss
   * @return the delay, in milliseconds
   */
  public static long delayMillis(DigestSettings settings, int height, int lostWaves) {
    // The root waits one grace period for each level and one for the other roots.
    return lostWaves * settings.intervalMillis() + (height + 1L) * settings.graceMillis(height);
  }

  /**
   * Returns the bound for {@link PortionRule#REACH}, under which all agents use equal portions.
   *
   * @return slot time divided by share, in milliseconds
   */
  public long chargeGapMillis() {
    long offsets = agents * largestCostMillis;
    // Each slot runs one request of unknown cost, both when the digest is taken and when an agent
    // selects a flow.
    long runningRequests = 2L * slots * largestCostMillis;
    long window = slots * (delayMillis + largestCostMillis);
    return (offsets + runningRequests + 2 * window) / smallestShare + localitySlackMillis;
  }

  /**
   * Returns the bound for {@link PortionRule#MEASURED}, under which the portions of two flows at
   * one agent may differ.
   *
   * @return slot time divided by share, in milliseconds
   */
  public long measuredPortionGapMillis() {
    long wave = slots * (intervalMillis + delayMillis + largestCostMillis);
    return chargeGapMillis() + wave / smallestShare;
  }
}
