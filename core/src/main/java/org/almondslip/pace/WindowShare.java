package org.almondslip.pace;

/** Part of a window that one router may use. */
final class WindowShare {

  private WindowShare() {}

  /**
   * Returns the part of a router: its equal share, and an equal part of what others leave unused if
   * it hears them. The whole unused part would be taken by all routers before their next reports.
   *
   * @param window the concurrent requests that all routers together may have
   * @param others the running requests of the other routers
   * @param routers the number of routers that share the window
   * @param rank the rank of this router, from 0; the remainder goes to the lowest ranks
   * @param hearing the number of this router and those it hears, 0 if it hears too few
   * @return the number of concurrent requests of this router
   */
  static int of(int window, int others, int routers, int rank, int hearing) {
    int share = window / routers + (rank < window % routers ? 1 : 0);
    return hearing == 0 ? share : share + Math.max(0, window - others - share) / hearing;
  }
}
