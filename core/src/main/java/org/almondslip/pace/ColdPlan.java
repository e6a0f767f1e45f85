package org.almondslip.pace;

/**
 * Number of routers that may send to a cold target, and the rate of each.
 *
 * <p>Addresses a target that fails under more requests than it tolerates while it is cold. The
 * routers are few and do not coordinate, so the plan leaves room for one router too many.
 *
 * @param routers the number of routers that may send, 0 if requests are not limited
 * @param intervalMillis the minimum time between two requests of one of them, in milliseconds
 */
record ColdPlan(int routers, long intervalMillis) {

  /** Plan of a service whose targets need no warm-up. */
  static final ColdPlan UNLIMITED = new ColdPlan(0, 0);

  /**
   * Maximum number of routers that may send to a cold target. With more, the first requests of all
   * of them alone could exceed the bound.
   */
  static final int MAX_ROUTERS = 4;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Creates a plan. It is the one with the highest total rate for which the selected routers and
   * one more together stay below the bound within any second of arrivals.
   *
   * @param perSecond the requests per second that a cold target tolerates
   * @param bound the maximum number of requests of all routers within any second
   * @param listed the number of routers in the list
   * @return the plan
   */
  static ColdPlan of(double perSecond, double bound, int listed) {
    if (perSecond <= 0) {
      return UNLIMITED;
    }
    int maxRouters = perSecond < 1 ? 1 : Math.min(MAX_ROUTERS, listed);
    ColdPlan best = ofRouters(perSecond, bound, 1);
    for (int routers = 2; routers <= maxRouters && routers < bound; routers++) {
      ColdPlan plan = ofRouters(perSecond, bound, routers);
      if (plan.totalRate() >= best.totalRate()) {
        best = plan;
      }
    }
    return best;
  }

  /** Creates the plan for a number of routers. */
  private static ColdPlan ofRouters(double perSecond, double bound, int routers) {
    // Requests that arrive within a second were sent within the validity of a permit before.
    double arrivalMillis = MILLIS_PER_SECOND + ColdPermit.VALID_MILLIS;
    double perRouter = Math.max(1, Math.floor(bound / (routers + 1)));
    long rateInterval = (long) Math.ceil(MILLIS_PER_SECOND * routers / perSecond);
    long boundInterval = (long) Math.floor(arrivalMillis / perRouter) + 1;
    return new ColdPlan(routers, Math.max(rateInterval, boundInterval));
  }

  private double totalRate() {
    return routers / (double) intervalMillis;
  }
}
