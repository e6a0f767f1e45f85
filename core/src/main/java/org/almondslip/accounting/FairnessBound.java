package org.almondslip.accounting;

/**
 * Largest gap between two backlogged flows of a pool with the same reach, computed from settings.
 * The derivation is in docs/fairness.md.
 *
 * @param agents the number of agents that reach the pool
 * @param slots the number of slots of the pool
 * @param largestCostMillis the slot time of the largest request, in milliseconds
 * @param smallestShare the smallest share of an organisation
 * @param intervalMillis the time between two digests, in milliseconds
 * @param delayMillis the time from the moment up to which a digest counts charges until all agents
 *     use it, in milliseconds
 * @param localitySlackMillis what is added to the account of spill offers, in milliseconds
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
   * Computes the delay of digests from the times of the waves.
   *
   * @param settings the times of the waves
   * @param height the number of levels below the root
   * @param lostWaves how many waves in a row an agent may miss
   * @return the delay, in milliseconds
   */
  public static long delayMillis(DigestSettings settings, int height, int lostWaves) {
    // The root waits one grace period per level and one more for the other roots.
    return lostWaves * settings.intervalMillis() + (height + 1L) * settings.graceMillis(height);
  }

  /**
   * Returns the bound for {@link PortionRule#REACH}, where all agents use equal portions.
   *
   * @return slot time divided by share, in milliseconds
   */
  public long chargeGapMillis() {
    long offsets = agents * largestCostMillis;
    // Each slot runs one request whose cost is unknown, when the digest counts and at the choice.
    long runningRequests = 2L * slots * largestCostMillis;
    long window = slots * (delayMillis + largestCostMillis);
    return (offsets + runningRequests + 2 * window) / smallestShare + localitySlackMillis;
  }

  /**
   * Returns the bound for {@link PortionRule#MEASURED}, where the portions of two flows at one
   * agent may differ.
   *
   * @return slot time divided by share, in milliseconds
   */
  public long measuredPortionGapMillis() {
    long wave = slots * (intervalMillis + delayMillis + largestCostMillis);
    return chargeGapMillis() + wave / smallestShare;
  }
}
