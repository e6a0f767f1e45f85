package org.almondslip.pace;

import java.util.HashMap;
import java.util.Map;

/** Routers whose reports have arrived recently. */
final class HeardRouters {

  /** Time after a report for which a router counts, in milliseconds. */
  static final long HEARD_MILLIS = 1_000;

  /** Time for which a count is used, in milliseconds; counting 410 routers takes a while. */
  private static final long COUNT_MILLIS = 50;

  /** Times of the latest reports by router, in milliseconds. */
  private final Map<String, Long> reports = new HashMap<>();

  private int count;

  /** Time of the next count in milliseconds. */
  private long countAt = Long.MIN_VALUE;

  void onReport(String router, long now) {
    reports.put(router, now);
  }

  /** Returns the number of routers that have reported within {@link #HEARD_MILLIS}. */
  int count(long now) {
    if (now >= countAt) {
      countAt = now + COUNT_MILLIS;
      reports.values().removeIf(at -> now - at >= HEARD_MILLIS);
      count = reports.size();
    }
    return count;
  }
}
