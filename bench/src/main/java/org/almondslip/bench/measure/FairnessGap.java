package org.almondslip.bench.measure;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Largest difference of service divided by share between any two organisations that were backlogged
 * during the whole window.
 *
 * @param millis the difference in milliseconds of slot time per unit of share
 * @param organisations the organisations that were backlogged during the whole window
 */
public record FairnessGap(double millis, Set<String> organisations) {

  /**
   * Copies the set.
   *
   * @param millis the difference
   * @param organisations the organisations
   */
  public FairnessGap {
    organisations = Set.copyOf(organisations);
  }

  /**
   * State of one pool at a time.
   *
   * @param timeMillis the time
   * @param slotMillis slot time by organisation since the start of the targets
   * @param backlogged organisations that had requests waiting
   */
  public record Sample(long timeMillis, Map<String, Long> slotMillis, Set<String> backlogged) {

    /**
     * Copies the collections.
     *
     * @param timeMillis the time
     * @param slotMillis slot time by organisation
     * @param backlogged organisations that had requests waiting
     */
    public Sample {
      slotMillis = Map.copyOf(slotMillis);
      backlogged = Set.copyOf(backlogged);
    }
  }

  /**
   * Calculates the gap. The service counts from the first sample; the gap is the largest one at any
   * later sample.
   *
   * @param window the samples of the window in the order of their times
   * @param shares the share of each organisation
   * @return the gap, 0 when fewer than two organisations were backlogged all the time
   */
  public static FairnessGap of(List<Sample> window, Map<String, Integer> shares) {
    if (window.isEmpty()) {
      return new FairnessGap(0, Set.of());
    }
    Set<String> always = new HashSet<>(shares.keySet());
    window.forEach(sample -> always.retainAll(sample.backlogged()));
    double gap = 0;
    if (always.size() > 1) {
      for (Sample sample : window) {
        gap = Math.max(gap, spread(window.get(0), sample, always, shares));
      }
    }
    return new FairnessGap(gap, always);
  }

  /**
   * Returns the difference between the largest and the smallest service divided by share.
   *
   * @param first the sample from which service counts
   * @param sample the sample
   * @param organisations the organisations to compare
   * @param shares the share of each organisation
   * @return the difference
   */
  private static double spread(
      Sample first, Sample sample, Set<String> organisations, Map<String, Integer> shares) {
    double min = Double.MAX_VALUE;
    double max = -Double.MAX_VALUE;
    for (String name : organisations) {
      long before = first.slotMillis().getOrDefault(name, 0L);
      long served = sample.slotMillis().getOrDefault(name, 0L) - before;
      double normalized = (double) served / shares.get(name);
      min = Math.min(min, normalized);
      max = Math.max(max, normalized);
    }
    return max - min;
  }
}
