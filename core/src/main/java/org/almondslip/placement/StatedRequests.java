package org.almondslip.placement;

/**
 * Requests at a target as the target stated them in its latest response, with the requests that
 * this router has sent or seen end since.
 *
 * <p>Addresses requests of other routers whose reports are still under way or lost.
 */
final class StatedRequests {

  /** Time for which a statement is used, in milliseconds; other routers' reports are as old. */
  static final long EXPIRY_MILLIS = 150;

  private int stated;

  private long statedAt;

  private boolean known;

  /** Requests sent since the statement, minus those ended. */
  private int changes;

  /**
   * Records a statement.
   *
   * @param requests the running and waiting requests
   * @param now the current time in milliseconds
   */
  void onStatus(int requests, long now) {
    stated = requests;
    statedAt = now;
    known = true;
    changes = 0;
  }

  /**
   * Records that this router sent requests or saw them end.
   *
   * @param change the number of requests sent, negative if they ended
   */
  void onChange(int change) {
    changes += change;
  }

  /**
   * Returns the larger of the stated requests and those known from reports.
   *
   * @param reported the requests known from own sends and the reports of other routers
   * @param now the current time in milliseconds
   * @return the number of requests
   */
  int correct(int reported, long now) {
    boolean fresh = known && now - statedAt < EXPIRY_MILLIS;
    return fresh ? Math.max(reported, stated + changes) : reported;
  }
}
