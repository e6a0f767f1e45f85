package org.almondslip.accounting;

/**
 * Largest gap between two backlogged flows of a pool with the same reach, computed from settings.
 *
 * @param agents the number of agents that reach the pool
 * @param slots the number of slots of the pool
 * @param largestCostMillis the slot time of the largest request, in milliseconds
 * @param smallestShare the smallest share of an organisation
 * @param delayMillis the time after which a charge is in every account, in milliseconds
 * @param localitySlackMillis what is added to the account of spill offers, in milliseconds
 */
public record FairnessBound(
    int agents,
    int slots,
    long largestCostMillis,
    int smallestShare,
    long delayMillis,
    long localitySlackMillis) {

  /**
   * Computes the delay of charges from the times of the waves.
   *
   * @param settings the times of the waves
   * @param height the number of levels below the root
   * @param lostWaves how many waves in a row may be lost
   * @return the delay, in milliseconds
   */
  public static long delayMillis(DigestSettings settings, int height, int lostWaves) {
    // The root waits one grace period per level and one more for the other roots.
    return (1L + lostWaves) * settings.intervalMillis() + (height + 1L) * settings.graceMillis();
  }

  /**
   * Returns the bound on the gap between the charges of two flows.
   *
   * @return slot time divided by share, in milliseconds
   */
  public long chargeGapMillis() {
    long granularity = 2L * agents * largestCostMillis / smallestShare;
    long delay = slots * delayMillis / smallestShare;
    return granularity + delay + localitySlackMillis;
  }
}
