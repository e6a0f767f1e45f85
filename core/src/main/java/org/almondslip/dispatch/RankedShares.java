package org.almondslip.dispatch;

import java.util.Arrays;
import java.util.TreeSet;

/**
 * Division of the capacity of a service among organisations of several ranks, for an overload that
 * the organisations of a lower rank must bear first.
 *
 * <p>Each organisation has a floor. What the floors of the lower ranks leave is divided max-min
 * fair among the organisations of the highest rank, then what these leave among those of the next
 * one. With a single rank the division is max-min fair without floors.
 */
final class RankedShares {

  /** Fraction of its demand that an organisation keeps, unless the even share is less. */
  private static final double FLOOR_FRACTION = 0.1;

  /** Maximum service of each organisation in tokens, infinite if its rank lacks no capacity. */
  private final double[] limits;

  /** Service of each organisation that precedes higher ranks, in tokens; 0 with a single rank. */
  private final double[] floors;

  /**
   * Divides the capacity.
   *
   * @param ranks the rank of each organisation; 0 is the highest
   * @param requested the tokens that each organisation requested
   * @param served the tokens that all organisations were served in total
   * @param requestTokens the cost of a request, which is the least floor
   */
  RankedShares(int[] ranks, double[] requested, double served, double requestTokens) {
    double evenShare = FairShare.maxMinShare(requested, served);
    this.limits = new double[ranks.length];
    this.floors = new double[ranks.length];
    Arrays.fill(limits, evenShare);
    TreeSet<Integer> distinct = new TreeSet<>();
    for (int rank : ranks) {
      distinct.add(rank);
    }
    if (distinct.size() > 1 && !Double.isInfinite(evenShare)) {
      for (int i = 0; i < ranks.length; i++) {
        double floor = Math.max(FLOOR_FRACTION * requested[i], requestTokens);
        floors[i] = Math.min(Math.min(requested[i], evenShare), floor);
      }
      double remaining = served;
      for (int rank : distinct) {
        double lowerFloors = 0;
        for (int i = 0; i < ranks.length; i++) {
          lowerFloors += ranks[i] > rank ? floors[i] : 0;
        }
        fill(ranks, rank, requested, Math.max(0, remaining - lowerFloors));
        for (int i = 0; i < ranks.length; i++) {
          remaining -= ranks[i] == rank ? Math.min(requested[i], limits[i]) : 0;
        }
      }
    }
  }

  /** Sets the limits of the organisations of one rank, which share the given tokens. */
  private void fill(int[] ranks, int rank, double[] requested, double tokens) {
    boolean[] open = new boolean[ranks.length];
    for (int i = 0; i < ranks.length; i++) {
      open[i] = ranks[i] == rank;
    }
    double remaining = tokens;
    boolean found;
    do {
      double level = FairShare.maxMinShare(selected(requested, open), remaining);
      found = false;
      for (int i = 0; i < ranks.length; i++) {
        if (open[i]) {
          limits[i] = Math.max(level, floors[i]);
          if (floors[i] > level) {
            // The floor is more than an equal part, so the others share the rest.
            open[i] = false;
            remaining = Math.max(0, remaining - floors[i]);
            found = true;
          }
        }
      }
    } while (found);
  }

  private static double[] selected(double[] requested, boolean[] open) {
    double[] selected = new double[requested.length];
    int count = 0;
    for (int i = 0; i < requested.length; i++) {
      if (open[i]) {
        selected[count++] = requested[i];
      }
    }
    return Arrays.copyOf(selected, count);
  }

  /**
   * Returns the maximum service of an organisation.
   *
   * @param index the index of the organisation
   * @return the tokens, infinite if the organisations of its rank lack no capacity
   */
  double limit(int index) {
    return limits[index];
  }

  /**
   * Returns the service of an organisation that precedes higher ranks.
   *
   * @param index the index of the organisation
   * @return the tokens, 0 with a single rank
   */
  double floor(int index) {
    return floors[index];
  }
}
